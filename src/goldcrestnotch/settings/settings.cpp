/// @file
/// Parsing of settings with toml++. Every key is validated, and unknown keys
/// are errors.

#include "goldcrestnotch/settings/settings.hpp"

#include <algorithm>
#include <fstream>
#include <limits>
#include <map>
#include <set>
#include <sstream>
#include <utility>

#include <toml++/toml.h>

namespace goldcrestnotch {

namespace internal {

static constexpr std::size_t MinKeyBytes = 16;
static constexpr std::int64_t HourMs = 3'600'000;

[[nodiscard]] static std::string
joinLines(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const auto &Line : Lines) {
    Text += Text.empty() ? "" : "\n";
    Text += Line;
  }
  return Text;
}

[[nodiscard]] static std::string qualifiedKey(const std::string &Section,
                                              const std::string &Key) {
  return Section + "." + Key;
}

/// @brief Reads values from a TOML document and collects all errors.
/// @details A member that reads a value leaves its output unchanged if an
/// optional key is missing.
class SettingsReader {
public:
  SettingsReader(const toml::table &Root, const std::string &File)
      : Root{Root}, File{File} {}

  /// @brief Reads a non-empty string.
  void text(const char *Section, const char *Key, std::string &Out,
            bool Required) {
    if (const auto *Node = find(Section, Key, Required)) {
      if (const auto Value = Node->value_exact<std::string>();
          Value && !Value->empty()) {
        Out = *Value;
      } else {
        addFault(*Node, Section, Key, "must be a non-empty string");
      }
    }
  }

  /// @brief Reads a required identifier.
  template <typename IdType>
  void id(const char *Section, const char *Key, IdType &Out) {
    std::string Text;
    text(Section, Key, Text, true);
    Out = IdType{Text};
  }

  /// @brief Reads a required key of at least `MinKeyBytes` bytes.
  void secret(const char *Section, const char *Key, std::string &Out) {
    text(Section, Key, Out, true);
    if (!Out.empty() && Out.size() < MinKeyBytes) {
      addFault(*find(Section, Key, true), Section, Key,
               "must be at least 16 bytes long");
    }
  }

  /// @brief Reads a required network address.
  void endpoint(const char *Section, const char *Key, http::Endpoint &Out) {
    std::string Text;
    text(Section, Key, Text, true);
    if (Text.empty()) {
      return;
    }
    try {
      Out = http::Endpoint::parse(Text);
    } catch (const std::invalid_argument &Exception) {
      addFault(*find(Section, Key, true), Section, Key, Exception.what());
    }
  }

  /// @brief Reads an optional integer in the range from `Min` to `Max`.
  template <typename Number>
  void number(const char *Section, const char *Key, Number &Out,
              std::int64_t Min, std::int64_t Max) {
    const auto *Node = find(Section, Key, false);
    if (Node == nullptr) {
      return;
    }
    const auto Value = Node->value_exact<std::int64_t>();
    if (!Value || *Value < Min || *Value > Max) {
      addFault(*Node, Section, Key,
               "must be an integer from " + std::to_string(Min) + " to " +
                   std::to_string(Max));
      return;
    }
    Out = Number{static_cast<Number>(*Value)};
  }

  /// @brief Reads an optional duration in milliseconds.
  void millis(const char *Section, const char *Key, Millis &Out,
              std::int64_t Min, std::int64_t Max) {
    auto Count = Out.count();
    number(Section, Key, Count, Min, Max);
    Out = Millis{Count};
  }

  /// @brief Reads an optional log level.
  void level(const char *Section, const char *Key, LogLevel &Out) {
    static const std::map<std::string, LogLevel> Levels{
        {"debug", LogLevel::Debug},
        {"info", LogLevel::Info},
        {"warn", LogLevel::Warn},
        {"error", LogLevel::Error}};
    std::string Text;
    text(Section, Key, Text, false);
    const auto It = Levels.find(Text);
    if (It != Levels.end()) {
      Out = It->second;
    } else if (!Text.empty()) {
      addFault(*find(Section, Key, false), Section, Key,
               "must be debug, info, warn or error");
    }
  }

  /// @brief Reports sections and keys that no other member has looked up.
  /// @details Call it after all settings have been read.
  void checkUnknownKeys() {
    for (const auto &[Section, Node] : Root) {
      const std::string SectionName{Section.str()};
      const auto *Table = Node.as_table();
      if (Table == nullptr || !KnownSections.contains(SectionName)) {
        addFault(Node, SectionName.c_str(), nullptr, "is not a known section");
        continue;
      }
      for (const auto &[Key, Value] : *Table) {
        const std::string KeyName{Key.str()};
        if (!KnownKeys.contains(qualifiedKey(SectionName, KeyName))) {
          addFault(Value, SectionName.c_str(), KeyName.c_str(),
                   "is not a known key");
        }
      }
    }
  }

  /// @brief Reports values that contradict each other; they have no single
  /// line.
  void addConflict(const std::string &Message) {
    Faults.push_back(File + ": " + Message);
  }

  /// @brief Moves out the error messages.
  [[nodiscard]] std::vector<std::string> &&faults() {
    return std::move(Faults);
  }

private:
  /// @brief Looks up a key and records it as known.
  /// @details A missing required key is reported once, even if it is looked up
  /// again.
  /// @return The node, or null if the key is missing.
  [[nodiscard]] const toml::node *find(const char *Section, const char *Key,
                                       bool Required) {
    KnownSections.insert(Section);
    KnownKeys.insert(qualifiedKey(Section, Key));
    const auto Node = Root[Section][Key];
    if (!Node && Required) {
      const auto Message = File + ": " + Section + "." + Key + " is missing";
      if (std::find(Faults.begin(), Faults.end(), Message) == Faults.end()) {
        Faults.push_back(Message);
      }
    }
    return Node.node();
  }

  /// @brief Reports an error with the line of its node.
  /// @param Key The key, or null if the section itself is wrong.
  void addFault(const toml::node &Node, const char *Section, const char *Key,
                const std::string &Problem) {
    const std::string Name =
        Key == nullptr ? Section : std::string{Section} + "." + Key;
    Faults.push_back(File + ":" + std::to_string(Node.source().begin.line) +
                     ": " + Name + " " + Problem);
  }

  const toml::table &Root;
  const std::string &File;
  std::set<std::string> KnownSections;
  std::set<std::string> KnownKeys;
  std::vector<std::string> Faults;
};

static void readVm(SettingsReader &Reader, Settings &Result) {
  Reader.id("vm", "name", Result.Vm);
  Reader.id("vm", "domain", Result.Domain);
  Reader.endpoint("vm", "entry", Result.Entry);
  Reader.endpoint("vm", "peer", Result.Peer);
  Reader.number("vm", "traffic_threads", Result.TrafficThreads, 1, 64);
  Reader.endpoint("platform", "address", Result.Platform);
  Reader.secret("keys", "operator", Result.OperatorKey);
  Reader.secret("keys", "peer", Result.PeerKey);
  Reader.level("log", "level", Result.Level);
  Reader.millis("shutdown", "drain_ms", Result.DrainTimeout, 0, HourMs);
}

static void readLedger(SettingsReader &Reader, Settings &Result) {
  Reader.millis("ledger", "append_spacing_ms", Result.MinAppendInterval, 1,
                10'000);
  Reader.millis("ledger", "grant_wait_ms", Result.GrantTimeout, 1, 60'000);
  Reader.millis("ledger", "snapshot_every_ms", Result.SnapshotInterval, 100,
                24 * HourMs);
  Reader.millis("ledger", "gone_after_ms", Result.GoneTimeout, 100,
                24 * HourMs);
  Reader.millis("ledger", "sweep_limit_ms", Result.WriteOffTimeout, 100,
                24 * HourMs);
}

static void readTraffic(SettingsReader &Reader, Settings &Result) {
  Reader.millis("traffic", "first_byte_ms", Result.FirstByteTimeout, 1, HourMs);
  Reader.millis("traffic", "between_ms", Result.ChunkTimeout, 1, HourMs);
  Reader.millis("traffic", "slot_wait_ms", Result.SlotTimeout, 0, 60'000);
  Reader.millis("traffic", "caller_ms", Result.CallerWriteTimeout, 1, HourMs);
  Reader.number("traffic", "max_streams", Result.MaxStreams, 1, 100'000);
  Reader.number("traffic", "head_bytes", Result.MaxHeadBytes, 1'024, 1'048'576);
  Reader.number("traffic", "body_bytes", Result.MaxBodyBytes, 1'024,
                268'435'456);
  Reader.number("traffic", "default_max_tokens", Result.DefaultMaxTokens, 1,
                1'000'000);
  Reader.number("traffic", "most_max_tokens", Result.MaxTokensLimit, 1,
                1'000'000);
}

static void checkConflicts(SettingsReader &Reader, const Settings &Result) {
  if (Result.Entry == Result.Peer && Result.Entry.Port != 0) {
    Reader.addConflict("vm.entry and vm.peer must be different addresses");
  }
  if (!Result.OperatorKey.empty() && Result.OperatorKey == Result.PeerKey) {
    Reader.addConflict("keys.operator and keys.peer must differ");
  }
  if (Result.DefaultMaxTokens > Result.MaxTokensLimit) {
    Reader.addConflict(
        "traffic.default_max_tokens must not exceed traffic.most_max_tokens");
  }
}

} // namespace internal

SettingsError::SettingsError(std::vector<std::string> Messages)
    : std::runtime_error{internal::joinLines(Messages)}, Faults{std::move(
                                                             Messages)} {}

Settings Settings::parse(std::string_view Text, const std::string &Name) {
  toml::table Root;
  try {
    Root = toml::parse(Text, Name);
  } catch (const toml::parse_error &Exception) {
    throw SettingsError{{Name + ":" +
                         std::to_string(Exception.source().begin.line) + ": " +
                         std::string{Exception.description()}}};
  }
  Settings Result;
  internal::SettingsReader Reader{Root, Name};
  internal::readVm(Reader, Result);
  internal::readLedger(Reader, Result);
  internal::readTraffic(Reader, Result);
  internal::checkConflicts(Reader, Result);
  Reader.checkUnknownKeys();
  auto Faults = std::move(Reader).faults();
  if (!Faults.empty()) {
    throw SettingsError{std::move(Faults)};
  }
  return Result;
}

std::string readSettings(const std::string &Name) {
  const std::ifstream File{Name};
  if (!File) {
    throw SettingsError{{Name + ": cannot read the settings file"}};
  }
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace goldcrestnotch
