/// @file
/// The datagrams by which VMs tell each other what they know, in CBOR.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/quarantine/crash_quarantine.hpp"
#include "goldcrestnotch/store/log.hpp"

namespace goldcrestnotch::notices {

/// Every message is shorter than this, so that it fits into one packet.
inline constexpr std::size_t MaxMessageBytes = 1'200;
/// Maximum number of targets in one message.
inline constexpr std::size_t MaxTargets = 64;
/// Maximum number of suspects in one message.
inline constexpr std::size_t MaxSuspects = 64;

/// @brief Asks another VM how current its copies of two partitions are.
struct ViewRequest {
  std::uint64_t Nonce = 0;     ///< Identifies the response.
  store::Position OperatorEnd; ///< Known end of the operator's partition.
  store::Position TargetsEnd;  ///< Known end of the targets' partition.
};

/// @brief What a VM knows about one partition.
struct PartitionView {
  store::Position End; ///< The newest known position plus one.
  Millis ProofAge{0};  ///< Time since it knew all records of the store.
};

/// @brief Response to a `ViewRequest`.
struct ViewResponse {
  std::uint64_t Nonce = 0;
  PartitionView Operator;
  PartitionView Targets;
  /// Hashes of the names of targets that began to leave, or whose registration
  /// was deleted, at or after the requested offset.
  std::vector<std::uint64_t> Leaving;
  std::vector<std::uint64_t> Deleted;
  bool Complete = true; ///< The lists above contain all such targets.
};

/// @brief Says that a target ended before it had answered a request.
struct CrashNotice {
  quarantine::TargetRun Ended;
  std::vector<quarantine::CrashSuspect> Suspects;
  Millis Age{0}; ///< Time since then, when the message is sent.
  quarantine::CrashEvidence Evidence = quarantine::CrashEvidence::Strong;
};

/// @brief Says that a request with these suspects was answered.
struct ClearanceNotice {
  std::vector<quarantine::CrashSuspect> Suspects;
};

/// @brief Says that a target has stated that it leaves.
struct LeavingNotice {
  quarantine::TargetRun Run;
};

/// @brief Says that a target that must not reject often has rejected a request.
struct FullNotice {
  quarantine::TargetRun Run;
  Millis Pause{0}; ///< Time for which it must get no requests.
};

using Message = std::variant<ViewRequest, ViewResponse, CrashNotice,
                             ClearanceNotice, LeavingNotice, FullNotice>;

/// @brief Encodes a message.
[[nodiscard]] std::string encode(const Message &Source);
/// @brief Decodes a message.
/// @return Nothing if the bytes are not a valid message.
[[nodiscard]] std::optional<Message>
decodeMessage(std::span<const unsigned char> Bytes);

} // namespace goldcrestnotch::notices
