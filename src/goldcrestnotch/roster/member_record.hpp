/// @file
/// What one VM writes to the store for all others: that it lives, where it is
/// reached, and what it has seen of services that move to another version.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/rollout/record.hpp"

namespace goldcrestnotch::roster {

/// @brief What a process has seen of a version that a service moves to.
struct MoveEvidence {
  VersionId To;
  VersionCounts Old;
  VersionCounts New;

  auto operator<=>(const MoveEvidence &) const = default;
};

/// Evidence by the name of the service that moves.
using MoveEvidenceByService = std::map<std::string, MoveEvidence>;

/// @brief The newest record of a VM; its key is the VM's address.
struct MemberRecord {
  std::string Incarnation;    ///< Names the process; each start draws one.
  std::uint64_t Sequence = 0; ///< Counts the records of this process.
  std::string Entry;          ///< Address for callers.
  std::string Control;        ///< Address for other VMs.
  std::uint32_t Power = 0;    ///< Processor share, in hundredths of a core.
  bool Leaving = false;       ///< Takes no new callers.
  MoveEvidenceByService Moves;

  auto operator<=>(const MemberRecord &) const = default;
};

/// @brief The record as CBOR.
[[nodiscard]] std::string encode(const MemberRecord &Source);
/// @brief Reads a record; nothing if the bytes hold none.
[[nodiscard]] std::optional<MemberRecord> decodeMember(std::string_view Bytes);

} // namespace goldcrestnotch::roster
