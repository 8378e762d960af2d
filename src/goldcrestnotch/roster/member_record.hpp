/// @file
/// The record that each VM publishes to the store for all others: that it is
/// alive, where it can be reached, and the outcome counts that it has measured
/// for services that are moving to another version.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/rollout/record.hpp"

namespace goldcrestnotch::roster {

/// @brief Outcome counts that one process has measured for a service that is
/// moving to another version.
struct MoveEvidence {
  VersionId To; ///< The version that the service moves to.
  VersionCounts Old;
  VersionCounts New;

  auto operator<=>(const MoveEvidence &) const = default;
};

/// Move evidence by the name of the service that moves.
using MoveEvidenceByService = std::map<std::string, MoveEvidence>;

/// @brief A part of prompts that a VM keeps in quarantine.
struct QuarantinedSuspect {
  std::uint64_t Hash = 0;
  std::int64_t RemainingMs = 0; ///< At the time of the record.

  auto operator<=>(const QuarantinedSuspect &) const = default;
};

/// @brief The newest record of a VM; its key is the VM's address.
struct MemberRecord {
  std::string Incarnation;    ///< Random id of the process, drawn at its start.
  std::uint64_t Sequence = 0; ///< Number of this record within the process.
  std::string CallerAddress;  ///< Address that callers connect to.
  std::string ControlAddress; ///< Address that other VMs connect to.
  std::uint32_t CpuShare = 0; ///< Processor share in hundredths of a core.
  bool Leaving = false;       ///< The VM accepts no new callers.
  bool CutOff = false;        ///< The VM has lost its links to the targets.
  MoveEvidenceByService Moves;
  /// For VMs that start later; the others learn it from notices.
  std::vector<QuarantinedSuspect> Quarantined;

  auto operator<=>(const MemberRecord &) const = default;
};

/// @brief Encodes a record as CBOR.
[[nodiscard]] std::string encode(const MemberRecord &Source);
/// @brief Decodes a record.
/// @return Nothing if the bytes are not a valid record.
[[nodiscard]] std::optional<MemberRecord> decodeMember(std::string_view Bytes);

} // namespace goldcrestnotch::roster
