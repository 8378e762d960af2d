/// @file
/// The settings of one daemon, read from TOML and checked as a whole.

#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/http/message.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch {

/// @brief A daemon's settings; `docs/OPERATIONS.md` describes each.
struct Settings {
  VmId Vm;
  DomainId Domain;
  http::Endpoint Entry; ///< Callers and operators.
  http::Endpoint Peer;  ///< Other VMs.
  std::uint32_t TrafficThreads = 2;

  http::Endpoint Platform;

  std::string OperatorKey;
  std::string PeerKey;

  Millis AppendSpacing{50};      ///< Least time between appends to a stream.
  Millis GrantWait{1'500};       ///< Longest that a request waits for a grant.
  Millis SnapshotEvery{300'000}; ///< Between snapshots of each stream.
  Millis GoneAfter{4'500'000};   ///< Off the live list this long, a VM is gone.
  Millis SweepLimit{300'000}; ///< After this, what is in doubt is written off.

  Millis FirstByteWait{30'000}; ///< For an answer's first byte.
  Millis BetweenWait{10'000};   ///< Between two pieces of an answer.
  Millis SlotWait{500};         ///< Longest that a request waits for a slot.
  Millis CallerWait{30'000};    ///< For a caller to take what was written.
  std::uint32_t MaxStreams = 2'000;
  std::uint32_t HeadBytes = 16'384;
  std::uint64_t BodyBytes = 1'048'576;
  std::int64_t DefaultMaxTokens = 256;
  std::int64_t MostMaxTokens = 32'768;

  Millis DrainLimit{60'000}; ///< Longest that a shutdown waits for requests.
  LogLevel Level = LogLevel::Info;

  /// @brief Reads and checks a file's text.
  /// @param Name The file's name, for messages.
  /// @throws SettingsError naming every fault with its line.
  [[nodiscard]] static Settings parse(std::string_view Text,
                                      const std::string &Name);
};

/// @brief The text of a settings file.
/// @throws SettingsError if it can't be read.
[[nodiscard]] std::string readSettings(const std::string &Name);

/// @brief All that is wrong with a settings file.
class SettingsError : public std::runtime_error {
public:
  explicit SettingsError(std::vector<std::string> Faults);

  [[nodiscard]] const std::vector<std::string> &faults() const noexcept {
    return Faults;
  }

private:
  std::vector<std::string> Faults;
};

} // namespace goldcrestnotch
