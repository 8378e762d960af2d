/// @file
/// Reading settings with toml++; every key is checked.

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

static constexpr std::size_t LeastKeyBytes = 16;
static constexpr std::int64_t HourMs = 3'600'000;

[[nodiscard]] static std::string join(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const auto &Line : Lines) {
    Text += Text.empty() ? "" : "\n";
    Text += Line;
  }
  return Text;
}

[[nodiscard]] static std::string dotted(const std::string &Section,
                                        const std::string &Key) {
  return Section + "." + Key;
}

/// @brief Takes keys out of a TOML document and collects faults.
class SettingsReader {
public:
  SettingsReader(const toml::table &Root, const std::string &File)
      : Root{Root}, File{File} {}

  void text(const char *Section, const char *Key, std::string &Out,
            bool Required) {
    if (const auto *Node = find(Section, Key, Required)) {
      if (const auto Value = Node->value_exact<std::string>();
          Value && !Value->empty()) {
        Out = *Value;
      } else {
        fault(*Node, Section, Key, "must be a text that is not empty");
      }
    }
  }

  template <typename Name>
  void name(const char *Section, const char *Key, Name &Out) {
    std::string Text;
    text(Section, Key, Text, true);
    Out = Name{Text};
  }

  void secret(const char *Section, const char *Key, std::string &Out) {
    text(Section, Key, Out, true);
    if (!Out.empty() && Out.size() < LeastKeyBytes) {
      fault(*find(Section, Key, true), Section, Key,
            "must have at least 16 characters");
    }
  }

  void endpoint(const char *Section, const char *Key, http::Endpoint &Out) {
    std::string Text;
    text(Section, Key, Text, true);
    if (Text.empty()) {
      return;
    }
    try {
      Out = http::Endpoint::parse(Text);
    } catch (const std::invalid_argument &Failure) {
      fault(*find(Section, Key, true), Section, Key, Failure.what());
    }
  }

  template <typename Number>
  void number(const char *Section, const char *Key, Number &Out,
              std::int64_t Least, std::int64_t Most) {
    const auto *Node = find(Section, Key, false);
    if (Node == nullptr) {
      return;
    }
    const auto Value = Node->value_exact<std::int64_t>();
    if (!Value || *Value < Least || *Value > Most) {
      fault(*Node, Section, Key,
            "must be a whole number from " + std::to_string(Least) + " to " +
                std::to_string(Most));
      return;
    }
    Out = Number{static_cast<Number>(*Value)};
  }

  void millis(const char *Section, const char *Key, Millis &Out,
              std::int64_t Least, std::int64_t Most) {
    auto Count = Out.count();
    number(Section, Key, Count, Least, Most);
    Out = Millis{Count};
  }

  void level(const char *Section, const char *Key, LogLevel &Out) {
    static const std::map<std::string, LogLevel> Names{
        {"debug", LogLevel::Debug},
        {"info", LogLevel::Info},
        {"warn", LogLevel::Warn},
        {"error", LogLevel::Error}};
    std::string Text;
    text(Section, Key, Text, false);
    const auto It = Names.find(Text);
    if (It != Names.end()) {
      Out = It->second;
    } else if (!Text.empty()) {
      fault(*find(Section, Key, false), Section, Key,
            "must be debug, info, warn or error");
    }
  }

  /// @brief Reports keys that nothing asked for.
  void unknown() {
    for (const auto &[Section, Node] : Root) {
      const std::string Name{Section.str()};
      const auto *Table = Node.as_table();
      if (Table == nullptr || !Sections.contains(Name)) {
        fault(Node, Name.c_str(), nullptr, "is not a known section");
        continue;
      }
      for (const auto &[Key, Value] : *Table) {
        const std::string KeyName{Key.str()};
        if (!Known.contains(dotted(Name, KeyName))) {
          fault(Value, Name.c_str(), KeyName.c_str(), "is not a known key");
        }
      }
    }
  }

  void clash(const std::string &What) { Faults.push_back(File + ": " + What); }

  [[nodiscard]] std::vector<std::string> &&faults() {
    return std::move(Faults);
  }

private:
  [[nodiscard]] const toml::node *find(const char *Section, const char *Key,
                                       bool Required) {
    Sections.insert(Section);
    Known.insert(dotted(Section, Key));
    const auto Node = Root[Section][Key];
    if (!Node && Required) {
      const auto Missing = File + ": " + Section + "." + Key + " is missing";
      if (std::find(Faults.begin(), Faults.end(), Missing) == Faults.end()) {
        Faults.push_back(Missing);
      }
    }
    return Node.node();
  }

  void fault(const toml::node &Node, const char *Section, const char *Key,
             const std::string &What) {
    const std::string Name =
        Key == nullptr ? Section : std::string{Section} + "." + Key;
    Faults.push_back(File + ":" + std::to_string(Node.source().begin.line) +
                     ": " + Name + " " + What);
  }

  const toml::table &Root;
  const std::string &File;
  std::set<std::string> Sections;
  std::set<std::string> Known;
  std::vector<std::string> Faults;
};

static void readVm(SettingsReader &In, Settings &Out) {
  In.name("vm", "name", Out.Vm);
  In.name("vm", "domain", Out.Domain);
  In.endpoint("vm", "entry", Out.Entry);
  In.endpoint("vm", "peer", Out.Peer);
  In.number("vm", "traffic_threads", Out.TrafficThreads, 1, 64);
  In.endpoint("platform", "address", Out.Platform);
  In.secret("keys", "operator", Out.OperatorKey);
  In.secret("keys", "peer", Out.PeerKey);
  In.level("log", "level", Out.Level);
  In.millis("shutdown", "drain_ms", Out.DrainLimit, 0, HourMs);
}

static void readLedger(SettingsReader &In, Settings &Out) {
  In.millis("ledger", "append_spacing_ms", Out.AppendSpacing, 1, 10'000);
  In.millis("ledger", "grant_wait_ms", Out.GrantWait, 1, 60'000);
  In.millis("ledger", "snapshot_every_ms", Out.SnapshotEvery, 100, 24 * HourMs);
  In.millis("ledger", "gone_after_ms", Out.GoneAfter, 100, 24 * HourMs);
  In.millis("ledger", "sweep_limit_ms", Out.SweepLimit, 100, 24 * HourMs);
}

static void readTraffic(SettingsReader &In, Settings &Out) {
  In.millis("traffic", "first_byte_ms", Out.FirstByteWait, 1, HourMs);
  In.millis("traffic", "between_ms", Out.BetweenWait, 1, HourMs);
  In.millis("traffic", "slot_wait_ms", Out.SlotWait, 0, 60'000);
  In.millis("traffic", "caller_ms", Out.CallerWait, 1, HourMs);
  In.number("traffic", "max_streams", Out.MaxStreams, 1, 100'000);
  In.number("traffic", "head_bytes", Out.HeadBytes, 1'024, 1'048'576);
  In.number("traffic", "body_bytes", Out.BodyBytes, 1'024, 268'435'456);
  In.number("traffic", "default_max_tokens", Out.DefaultMaxTokens, 1,
            1'000'000);
  In.number("traffic", "most_max_tokens", Out.MostMaxTokens, 1, 1'000'000);
}

static void checkClashes(SettingsReader &In, const Settings &Out) {
  if (Out.Entry == Out.Peer && Out.Entry.Port != 0) {
    In.clash("vm.entry and vm.peer are the same address");
  }
  if (!Out.OperatorKey.empty() && Out.OperatorKey == Out.PeerKey) {
    In.clash("keys.operator and keys.peer are the same");
  }
  if (Out.DefaultMaxTokens > Out.MostMaxTokens) {
    In.clash("traffic.default_max_tokens is above traffic.most_max_tokens");
  }
}

} // namespace internal

SettingsError::SettingsError(std::vector<std::string> Found)
    : std::runtime_error{internal::join(Found)}, Faults{std::move(Found)} {}

Settings Settings::parse(std::string_view Text, const std::string &Name) {
  toml::table Root;
  try {
    Root = toml::parse(Text, Name);
  } catch (const toml::parse_error &Failure) {
    throw SettingsError{{Name + ":" +
                         std::to_string(Failure.source().begin.line) + ": " +
                         std::string{Failure.description()}}};
  }
  Settings Result;
  internal::SettingsReader In{Root, Name};
  internal::readVm(In, Result);
  internal::readLedger(In, Result);
  internal::readTraffic(In, Result);
  internal::checkClashes(In, Result);
  In.unknown();
  auto Faults = std::move(In).faults();
  if (!Faults.empty()) {
    throw SettingsError{std::move(Faults)};
  }
  return Result;
}

std::string readSettings(const std::string &Name) {
  const std::ifstream In{Name};
  if (!In) {
    throw SettingsError{{Name + ": cannot be read"}};
  }
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

} // namespace goldcrestnotch
