/// @file
/// JSON encoding of changes and config records. Decoding collects every fault
/// of the input instead of stopping at the first one.

#include "goldcrestnotch/catalog/change.hpp"

#include <limits>
#include <map>
#include <set>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "goldcrestnotch/core/hash.hpp"

namespace goldcrestnotch {

using nlohmann::json;

namespace internal {

static constexpr std::int64_t MostTokens = 1'000'000'000'000'000;
static constexpr std::int64_t MostCapacity = 100'000;
static constexpr std::size_t NameBytes = 64;

/// @brief Reads the fields of one JSON object and collects its faults. The
/// destructor reports fields that were not read.
class FieldReader {
public:
  FieldReader(const json &Source, std::vector<std::string> &Faults,
              std::string Where)
      : Source{Source}, Faults{Faults}, Where{std::move(Where)} {
    Known.insert("kind");
  }
  FieldReader(const FieldReader &) = delete;
  FieldReader &operator=(const FieldReader &) = delete;

  ~FieldReader() {
    for (const auto &[Name, Value] : Source.items()) {
      if (!Known.contains(Name)) {
        fault("unknown field '" + Name + "'");
      }
    }
  }

  [[nodiscard]] std::string name(const char *Field, bool Optional = false) {
    auto Text = text(Field, Optional);
    const bool Bad =
        Text.size() > NameBytes ||
        Text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTU"
                               "VWXYZ0123456789._-") != std::string::npos;
    if (Bad || (Text.empty() && !Optional)) {
      fault(std::string{Field} +
            " must be 1 to 64 letters, digits, '.', '_' or '-'");
    }
    return Text;
  }

  [[nodiscard]] std::string text(const char *Field, bool Optional = false) {
    Known.insert(Field);
    if (!Source.contains(Field)) {
      if (!Optional) {
        fault(std::string{Field} + " is missing");
      }
      return {};
    }
    if (!Source.at(Field).is_string()) {
      fault(std::string{Field} + " must be a string");
      return {};
    }
    return Source.at(Field).get<std::string>();
  }

  [[nodiscard]] std::int64_t number(const char *Field, std::int64_t Least,
                                    std::int64_t Most) {
    Known.insert(Field);
    const auto It = Source.find(Field);
    if (It == Source.end() || !It->is_number_integer() ||
        (It->is_number_unsigned() &&
         It->get<std::uint64_t>() >
             static_cast<std::uint64_t>(
                 std::numeric_limits<std::int64_t>::max())) ||
        It->get<std::int64_t>() < Least || It->get<std::int64_t>() > Most) {
      fault(std::string{Field} + " must be an integer from " +
            std::to_string(Least) + " to " + std::to_string(Most));
      return Least;
    }
    return It->get<std::int64_t>();
  }

  [[nodiscard]] bool flag(const char *Field, bool Default) {
    Known.insert(Field);
    if (!Source.contains(Field)) {
      return Default;
    }
    if (!Source.at(Field).is_boolean()) {
      fault(std::string{Field} + " must be true or false");
      return Default;
    }
    return Source.at(Field).get<bool>();
  }

  void fault(const std::string &What) { Faults.push_back(Where + ": " + What); }

private:
  const json &Source;
  std::vector<std::string> &Faults;
  std::string Where;
  std::set<std::string> Known;
};

[[nodiscard]] static Change readWorkspace(FieldReader &In) {
  Workspace Result{WorkspaceId{In.name("name")}, In.text("key_digest", true)};
  const auto Key = In.text("key", true);
  if (!Key.empty()) {
    Result.KeyDigest = keyDigest(Key);
  }
  if (Result.KeyDigest.empty()) {
    In.fault("key or key_digest is missing");
  }
  return Result;
}

[[nodiscard]] static Change readRoute(FieldReader &In) {
  Route Result;
  Result.Name = RouteId{In.name("name")};
  const auto Serves = In.text("serves");
  if (Serves != "chat" && Serves != "service") {
    In.fault("serves must be 'chat' or 'service'");
  }
  Result.Kind = Serves == "service" ? RouteKind::Service : RouteKind::Chat;
  Result.Idempotent = In.flag("idempotent", true);
  Result.Version = VersionId{In.name("version")};
  return Result;
}

[[nodiscard]] static Change readTarget(FieldReader &In) {
  Target Result;
  Result.Name = TargetId{In.name("name")};
  Result.Serves = RouteId{In.name("route")};
  Result.Version = VersionId{In.name("version")};
  try {
    Result.Where = http::Endpoint::parse(In.text("address"));
  } catch (const std::invalid_argument &Failure) {
    In.fault(std::string{"address: "} + Failure.what());
  }
  Result.Domain = DomainId{In.name("domain")};
  Result.Capacity =
      static_cast<std::uint32_t>(In.number("capacity", 1, MostCapacity));
  Result.Leaving = In.flag("leaving", false);
  Result.Fenced = In.flag("fenced", false);
  return Result;
}

[[nodiscard]] static Change readMove(FieldReader &In) {
  Move Result;
  Result.Name = MoveId{In.name("name")};
  Result.On = RouteId{In.name("route")};
  Result.From = VersionId{In.name("from")};
  Result.To = VersionId{In.name("to")};
  Result.Deadline = LogTime{
      Millis{In.number("deadline_ms", 0, std::numeric_limits<int64_t>::max())}};
  return Result;
}

[[nodiscard]] static Change readTopUp(FieldReader &In) {
  return BudgetTopUp{WorkspaceId{In.name("workspace")},
                     Tokens{In.number("tokens", -MostTokens, MostTokens)}};
}

[[nodiscard]] static Change readRemoval(FieldReader &In) {
  Removal Result;
  const auto What = In.text("what");
  if (What == "workspace") {
    Result.What = Removal::Kind::Workspace;
  } else if (What == "route") {
    Result.What = Removal::Kind::Route;
  } else if (What == "target") {
    Result.What = Removal::Kind::Target;
  } else {
    In.fault("what must be 'workspace', 'route' or 'target'");
  }
  Result.Name = In.name("name");
  return Result;
}

using ChangeReader = Change (*)(FieldReader &);

[[nodiscard]] static const std::map<std::string, ChangeReader> &readers() {
  static const std::map<std::string, ChangeReader> Table{
      {"workspace", readWorkspace}, {"route", readRoute},
      {"target", readTarget},       {"move", readMove},
      {"top-up", readTopUp},        {"remove", readRemoval}};
  return Table;
}

[[nodiscard]] static std::vector<Change> read(const json &Source) {
  std::vector<std::string> Faults;
  std::vector<Change> Result;
  if (!Source.is_array() || Source.empty()) {
    throw std::invalid_argument{"changes must be a non-empty array"};
  }
  for (std::size_t I = 0; I < Source.size(); ++I) {
    const auto Where = "change " + std::to_string(I + 1);
    if (!Source[I].is_object()) {
      Faults.push_back(Where + ": must be an object");
      continue;
    }
    const auto Kind = Source[I].find("kind");
    const auto Reader = Kind != Source[I].end() && Kind->is_string()
                            ? readers().find(Kind->get<std::string>())
                            : readers().end();
    if (Reader == readers().end()) {
      Faults.push_back(Where + ": kind must be workspace, route, target, move, "
                               "top-up or remove");
      continue;
    }
    FieldReader In{Source[I], Faults, Where};
    Result.push_back(Reader->second(In));
  }
  std::string Message;
  for (const auto &Fault : Faults) {
    Message += (Message.empty() ? "" : "; ") + Fault;
  }
  if (!Message.empty()) {
    throw std::invalid_argument{Message};
  }
  return Result;
}

[[nodiscard]] static const char *nameOf(Removal::Kind What) {
  switch (What) {
  case Removal::Kind::Workspace:
    return "workspace";
  case Removal::Kind::Route:
    return "route";
  case Removal::Kind::Target:
    return "target";
  }
  return "";
}

/// @brief Converts each kind of change to JSON.
struct ChangeWriter {
  json operator()(const Workspace &C) const {
    return {{"kind", "workspace"},
            {"name", C.Name.str()},
            {"key_digest", C.KeyDigest}};
  }
  json operator()(const Route &C) const {
    return {{"kind", "route"},
            {"name", C.Name.str()},
            {"serves", C.Kind == RouteKind::Chat ? "chat" : "service"},
            {"idempotent", C.Idempotent},
            {"version", C.Version.str()}};
  }
  json operator()(const Target &C) const {
    return {{"kind", "target"},         {"name", C.Name.str()},
            {"route", C.Serves.str()},  {"version", C.Version.str()},
            {"address", C.Where.str()}, {"domain", C.Domain.str()},
            {"capacity", C.Capacity},   {"leaving", C.Leaving},
            {"fenced", C.Fenced}};
  }
  json operator()(const Move &C) const {
    return {{"kind", "move"},
            {"name", C.Name.str()},
            {"route", C.On.str()},
            {"from", C.From.str()},
            {"to", C.To.str()},
            {"deadline_ms", C.Deadline.time_since_epoch().count()}};
  }
  json operator()(const BudgetTopUp &C) const {
    return {{"kind", "top-up"},
            {"workspace", C.Name.str()},
            {"tokens", C.Amount.count()}};
  }
  json operator()(const Removal &C) const {
    return {{"kind", "remove"}, {"what", nameOf(C.What)}, {"name", C.Name}};
  }
};

[[nodiscard]] static json write(const std::vector<Change> &Source) {
  json Result = json::array();
  for (const auto &One : Source) {
    Result.push_back(std::visit(ChangeWriter{}, One));
  }
  return Result;
}

/// @brief Returns the subject of each kind of change.
struct SubjectNamer {
  std::string operator()(const Workspace &C) const {
    return "workspace:" + C.Name.str();
  }
  std::string operator()(const Route &C) const {
    return "route:" + C.Name.str();
  }
  std::string operator()(const Target &C) const {
    return "target:" + C.Name.str();
  }
  std::string operator()(const Move &C) const { return "route:" + C.On.str(); }
  std::string operator()(const BudgetTopUp &C) const {
    return "budget:" + C.Name.str();
  }
  std::string operator()(const Removal &C) const {
    return std::string{nameOf(C.What)} + ":" + C.Name;
  }
};

} // namespace internal

std::string keyDigest(std::string_view Key) {
  return macOf("goldcrestnotch workspace key", Key);
}

std::string subjectOf(const Change &What) {
  return std::visit(internal::SubjectNamer{}, What);
}

std::string describe(const Change &What) {
  auto Shown = std::visit(internal::ChangeWriter{}, What);
  Shown.erase("key_digest");
  std::string Line = Shown.at("kind").get<std::string>();
  Shown.erase("kind");
  for (const auto &[Name, Value] : Shown.items()) {
    Line += " " + Name + "=" +
            (Value.is_string() ? Value.get<std::string>() : Value.dump());
  }
  return Line;
}

std::vector<Change> decodeChanges(std::string_view Text) {
  const auto Parsed = json::parse(Text, nullptr, false);
  if (Parsed.is_discarded()) {
    throw std::invalid_argument{"the list of changes is not valid JSON"};
  }
  return internal::read(Parsed);
}

std::string encode(const std::vector<Change> &Source) {
  return internal::write(Source).dump();
}

std::string encode(const ConfigRecord &Source) {
  if (const auto *Stated = std::get_if<Plan>(&Source)) {
    return json{{"plan", Stated->Name.str()},
                {"by", Stated->Operator},
                {"base", Stated->Base},
                {"changes", internal::write(Stated->Changes)}}
        .dump();
  }
  if (const auto *Moved = std::get_if<MoveEnded>(&Source)) {
    return json{{"move", Moved->Name.str()}, {"done", Moved->Done}}.dump();
  }
  const auto &Word = std::get<Confirmation>(Source);
  return json{{"confirm", Word.Name.str()}, {"by", Word.Operator}}.dump();
}

ConfigRecord decodeConfig(std::string_view Text) {
  try {
    const auto Source = json::parse(Text);
    if (Source.contains("confirm")) {
      return Confirmation{PlanId{Source.at("confirm").get<std::string>()},
                          Source.at("by").get<std::string>()};
    }
    if (Source.contains("move")) {
      return MoveEnded{MoveId{Source.at("move").get<std::string>()},
                       Source.at("done").get<bool>()};
    }
    Plan Result;
    Result.Name = PlanId{Source.at("plan").get<std::string>()};
    Result.Operator = Source.at("by").get<std::string>();
    Result.Base = Source.at("base").get<std::uint64_t>();
    Result.Changes = internal::read(Source.at("changes"));
    return Result;
  } catch (const json::exception &Failure) {
    throw std::invalid_argument{Failure.what()};
  }
}

} // namespace goldcrestnotch
