/// @file
/// The settings of one daemon: parsing of the TOML file and its validation.

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

/// @brief The settings of a daemon. `docs/OPERATIONS.md` describes each of
/// them.
struct Settings {
  VmId Vm;              ///< Name of this VM.
  DomainId Domain;      ///< Failure domain of this VM.
  http::Endpoint Entry; ///< Listen address for callers and operators.
  http::Endpoint Peer;  ///< Listen address for other VMs.
  std::uint32_t TrafficThreads = 2; ///< Threads that serve requests.

  http::Endpoint Platform; ///< Address of the platform's services.

  std::string OperatorKey; ///< Key that authenticates operators.
  std::string PeerKey;     ///< Key that the VMs of a fleet share.

  /// Minimum time between appends to a stream.
  Millis MinAppendInterval{50};
  /// Maximum time a request waits for a grant.
  Millis GrantTimeout{1'500};
  /// Time between snapshots of a stream.
  Millis SnapshotInterval{300'000};
  /// A VM counts as gone after it has been missing from the live list for this
  /// time.
  Millis GoneTimeout{4'500'000};
  /// Tokens whose use is still unknown after this time are written off.
  Millis WriteOffTimeout{300'000};

  /// Maximum time until the first byte of a response.
  Millis FirstByteTimeout{30'000};
  /// Maximum time between two chunks of a response.
  Millis ChunkTimeout{10'000};
  /// Maximum time a request waits for a slot.
  Millis SlotTimeout{500};
  /// Maximum time for a write to a caller to complete.
  Millis CallerWriteTimeout{30'000};
  std::uint32_t MaxStreams = 2'000; ///< Maximum number of requests in progress.
  std::uint32_t MaxHeadBytes = 16'384;    ///< Maximum size of a request head.
  std::uint64_t MaxBodyBytes = 1'048'576; ///< Maximum size of a request body.
  /// Token limit of a chat request that states none.
  std::int64_t DefaultMaxTokens = 256;
  /// Highest token limit that a chat request may state.
  std::int64_t MaxTokensLimit = 32'768;

  /// Maximum time a shutdown waits for requests in progress.
  Millis DrainTimeout{60'000};
  LogLevel Level = LogLevel::Info; ///< Lowest log level that is written.

  /// @brief Parses and validates the text of a settings file.
  /// @param Text The content of the file.
  /// @param Name The name of the file, for error messages.
  /// @return The settings.
  /// @throws SettingsError if there is any error; it lists every error that was
  /// found.
  [[nodiscard]] static Settings parse(std::string_view Text,
                                      const std::string &Name);
};

/// @brief Reads a settings file.
/// @param Name The path of the file.
/// @return The content of the file.
/// @throws SettingsError if the file cannot be read.
[[nodiscard]] std::string readSettings(const std::string &Name);

/// @brief Thrown for an invalid settings file, with every error found in it.
class SettingsError : public std::runtime_error {
public:
  explicit SettingsError(std::vector<std::string> Messages);

  /// @brief The error messages, one per error.
  [[nodiscard]] const std::vector<std::string> &faults() const noexcept {
    return Faults;
  }

private:
  std::vector<std::string> Faults;
};

} // namespace goldcrestnotch
