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

static constexpr std::int64_t MaxCapacity = 100'000;
static constexpr std::size_t MaxNameBytes = 64;

/// @brief Reads the fields of one JSON object and collects its faults. The
/// destructor reports fields that were not read.
class FieldReader {
public:
  FieldReader(const json &Source, std::vector<std::string> &Faults,
              std::string Context)
      : Source{Source}, Faults{Faults}, Context{std::move(Context)} {
    KnownFields.insert("kind");
  }
  FieldReader(const FieldReader &) = delete;
  FieldReader &operator=(const FieldReader &) = delete;

  ~FieldReader() {
    for (const auto &[Name, Value] : Source.items()) {
      if (!KnownFields.contains(Name)) {
        addFault("unknown field '" + Name + "'");
      }
    }
  }

  [[nodiscard]] std::string name(const char *Field, bool Optional = false) {
    auto Text = text(Field, Optional);
    const bool IsInvalid =
        Text.size() > MaxNameBytes ||
        Text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTU"
                               "VWXYZ0123456789._-") != std::string::npos;
    if (IsInvalid || (Text.empty() && !Optional)) {
      addFault(std::string{Field} +
               " must be 1 to 64 letters, digits, '.', '_' or '-'");
    }
    return Text;
  }

  [[nodiscard]] std::string text(const char *Field, bool Optional = false) {
    KnownFields.insert(Field);
    if (!Source.contains(Field)) {
      if (!Optional) {
        addFault(std::string{Field} + " is missing");
      }
      return {};
    }
    if (!Source.at(Field).is_string()) {
      addFault(std::string{Field} + " must be a string");
      return {};
    }
    return Source.at(Field).get<std::string>();
  }

  [[nodiscard]] std::int64_t number(const char *Field, std::int64_t Min,
                                    std::int64_t Max) {
    KnownFields.insert(Field);
    const auto It = Source.find(Field);
    if (It == Source.end() || !It->is_number_integer() ||
        (It->is_number_unsigned() &&
         It->get<std::uint64_t>() >
             static_cast<std::uint64_t>(
                 std::numeric_limits<std::int64_t>::max())) ||
        It->get<std::int64_t>() < Min || It->get<std::int64_t>() > Max) {
      addFault(std::string{Field} + " must be an integer from " +
               std::to_string(Min) + " to " + std::to_string(Max));
      return Min;
    }
    return It->get<std::int64_t>();
  }

  [[nodiscard]] bool flag(const char *Field, bool Default) {
    KnownFields.insert(Field);
    if (!Source.contains(Field)) {
      return Default;
    }
    if (!Source.at(Field).is_boolean()) {
      addFault(std::string{Field} + " must be true or false");
      return Default;
    }
    return Source.at(Field).get<bool>();
  }

  void addFault(const std::string &Message) {
    Faults.push_back(Context + ": " + Message);
  }

private:
  const json &Source;
  std::vector<std::string> &Faults;
  std::string Context;
  std::set<std::string> KnownFields;
};

[[nodiscard]] static Change readWorkspace(FieldReader &Fields) {
  Workspace Result{WorkspaceId{Fields.name("name")},
                   Fields.text("key_digest", true)};
  const auto Key = Fields.text("key", true);
  if (!Key.empty()) {
    Result.KeyDigest = keyDigest(Key);
  }
  if (Result.KeyDigest.empty()) {
    Fields.addFault("key or key_digest is missing");
  }
  return Result;
}

[[nodiscard]] static Change readRoute(FieldReader &Fields) {
  Route Result;
  Result.Name = RouteId{Fields.name("name")};
  const auto Serves = Fields.text("serves");
  if (Serves != "chat" && Serves != "service") {
    Fields.addFault("serves must be 'chat' or 'service'");
  }
  Result.Kind = Serves == "service" ? RouteKind::Service : RouteKind::Chat;
  Result.Idempotent = Fields.flag("idempotent", true);
  Result.Version = VersionId{Fields.name("version")};
  return Result;
}

[[nodiscard]] static Change readTarget(FieldReader &Fields) {
  Target Result;
  Result.Name = TargetId{Fields.name("name")};
  Result.Serves = RouteId{Fields.name("route")};
  Result.Version = VersionId{Fields.name("version")};
  try {
    Result.Address = http::Endpoint::parse(Fields.text("address"));
  } catch (const std::invalid_argument &Failure) {
    Fields.addFault(std::string{"address: "} + Failure.what());
  }
  Result.Domain = DomainId{Fields.name("domain")};
  Result.Capacity =
      static_cast<std::uint32_t>(Fields.number("capacity", 1, MaxCapacity));
  Result.Leaving = Fields.flag("leaving", false);
  Result.Fenced = Fields.flag("fenced", false);
  return Result;
}

[[nodiscard]] static Change readMove(FieldReader &Fields) {
  Move Result;
  Result.Name = MoveId{Fields.name("name")};
  Result.On = RouteId{Fields.name("route")};
  Result.From = VersionId{Fields.name("from")};
  Result.To = VersionId{Fields.name("to")};
  Result.Deadline = LogTime{Millis{
      Fields.number("deadline_ms", 0, std::numeric_limits<int64_t>::max())}};
  return Result;
}

[[nodiscard]] static Change readTopUp(FieldReader &Fields) {
  return BudgetTopUp{
      WorkspaceId{Fields.name("workspace")},
      Tokens{Fields.number("tokens", -MaxTokens.count(), MaxTokens.count())}};
}

[[nodiscard]] static Change readRemoval(FieldReader &Fields) {
  Removal Result;
  const auto Kind = Fields.text("what");
  if (Kind == "workspace") {
    Result.What = Removal::Kind::Workspace;
  } else if (Kind == "route") {
    Result.What = Removal::Kind::Route;
  } else if (Kind == "target") {
    Result.What = Removal::Kind::Target;
  } else {
    Fields.addFault("what must be 'workspace', 'route' or 'target'");
  }
  Result.Name = Fields.name("name");
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

[[nodiscard]] static std::vector<Change> readChanges(const json &Source) {
  std::vector<std::string> Faults;
  std::vector<Change> Result;
  if (!Source.is_array() || Source.empty()) {
    throw std::invalid_argument{"changes must be a non-empty array"};
  }
  for (std::size_t I = 0; I < Source.size(); ++I) {
    const auto Context = "change " + std::to_string(I + 1);
    if (!Source[I].is_object()) {
      Faults.push_back(Context + ": must be an object");
      continue;
    }
    const auto Kind = Source[I].find("kind");
    const auto ReaderEntry = Kind != Source[I].end() && Kind->is_string()
                                 ? readers().find(Kind->get<std::string>())
                                 : readers().end();
    if (ReaderEntry == readers().end()) {
      Faults.push_back(Context +
                       ": kind must be workspace, route, target, move, "
                       "top-up or remove");
      continue;
    }
    FieldReader Fields{Source[I], Faults, Context};
    Result.push_back(ReaderEntry->second(Fields));
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

[[nodiscard]] static const char *nameOf(Removal::Kind Kind) {
  switch (Kind) {
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
struct ChangeToJson {
  json operator()(const Workspace &Source) const {
    return {{"kind", "workspace"},
            {"name", Source.Name.str()},
            {"key_digest", Source.KeyDigest}};
  }
  json operator()(const Route &Source) const {
    return {{"kind", "route"},
            {"name", Source.Name.str()},
            {"serves", Source.Kind == RouteKind::Chat ? "chat" : "service"},
            {"idempotent", Source.Idempotent},
            {"version", Source.Version.str()}};
  }
  json operator()(const Target &Source) const {
    return {{"kind", "target"},
            {"name", Source.Name.str()},
            {"route", Source.Serves.str()},
            {"version", Source.Version.str()},
            {"address", Source.Address.str()},
            {"domain", Source.Domain.str()},
            {"capacity", Source.Capacity},
            {"leaving", Source.Leaving},
            {"fenced", Source.Fenced}};
  }
  json operator()(const Move &Source) const {
    return {{"kind", "move"},
            {"name", Source.Name.str()},
            {"route", Source.On.str()},
            {"from", Source.From.str()},
            {"to", Source.To.str()},
            {"deadline_ms", Source.Deadline.time_since_epoch().count()}};
  }
  json operator()(const BudgetTopUp &Source) const {
    return {{"kind", "top-up"},
            {"workspace", Source.Name.str()},
            {"tokens", Source.Amount.count()}};
  }
  json operator()(const Removal &Source) const {
    return {{"kind", "remove"},
            {"what", nameOf(Source.What)},
            {"name", Source.Name}};
  }
};

[[nodiscard]] static json changesToJson(const std::vector<Change> &Source) {
  json Result = json::array();
  for (const auto &Change : Source) {
    Result.push_back(std::visit(ChangeToJson{}, Change));
  }
  return Result;
}

/// @brief Converts each kind of config record to JSON.
struct ConfigToJson {
  json operator()(const Plan &Source) const {
    return {{"plan", Source.Name.str()},
            {"by", Source.Operator},
            {"base", Source.Base},
            {"changes", changesToJson(Source.Changes)}};
  }
  json operator()(const Confirmation &Source) const {
    return {{"confirm", Source.Name.str()}, {"by", Source.Operator}};
  }
  json operator()(const MoveEnded &Source) const {
    return {{"move", Source.Name.str()}, {"done", Source.Done}};
  }
};

/// @brief Returns the subject of each kind of change.
struct SubjectOfChange {
  std::string operator()(const Workspace &Source) const {
    return "workspace:" + Source.Name.str();
  }
  std::string operator()(const Route &Source) const {
    return "route:" + Source.Name.str();
  }
  std::string operator()(const Target &Source) const {
    return "target:" + Source.Name.str();
  }
  std::string operator()(const Move &Source) const {
    return "route:" + Source.On.str();
  }
  std::string operator()(const BudgetTopUp &Source) const {
    return "budget:" + Source.Name.str();
  }
  std::string operator()(const Removal &Source) const {
    return std::string{nameOf(Source.What)} + ":" + Source.Name;
  }
};

} // namespace internal

std::string keyDigest(std::string_view Key) {
  return macOf("goldcrestnotch workspace key", Key);
}

std::string subjectOf(const Change &Source) {
  return std::visit(internal::SubjectOfChange{}, Source);
}

std::string describe(const Change &Source) {
  auto Fields = std::visit(internal::ChangeToJson{}, Source);
  Fields.erase("key_digest");
  std::string Line = Fields.at("kind").get<std::string>();
  Fields.erase("kind");
  for (const auto &[Name, Value] : Fields.items()) {
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
  return internal::readChanges(Parsed);
}

std::string encode(const std::vector<Change> &Source) {
  return internal::changesToJson(Source).dump();
}

std::string encode(const ConfigRecord &Source) {
  return std::visit(internal::ConfigToJson{}, Source)
      .dump(-1, ' ', false, json::error_handler_t::replace);
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
    Result.Changes = internal::readChanges(Source.at("changes"));
    return Result;
  } catch (const json::exception &Failure) {
    throw std::invalid_argument{Failure.what()};
  }
}

} // namespace goldcrestnotch
