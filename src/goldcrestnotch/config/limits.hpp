/// @file
/// Compile-time constants that must be equal in all processes of a fleet,
/// because the states that are computed from the log depend on them.

#pragma once

#include <cstddef>
#include <cstdint>

#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch::config {

/// Time for which the request id of a bill is retained, in log time. It is
/// longer than an engine retains a finished stream.
inline constexpr Millis BillRetention = std::chrono::minutes{10};
/// Time for which a claim and the bill of a keyed request are retained, in log
/// time.
inline constexpr Millis ClaimRetention = std::chrono::hours{24};
/// Time for which a plan and its end are retained, in log time.
inline constexpr Millis PlanRetention = std::chrono::hours{48};
/// Maximum size of the response stored in the outcome of a claim, in bytes.
inline constexpr std::size_t MaxOutcomeBytes = 4096;
/// Number of shards of the ledger; each has a stream of its own.
inline constexpr std::uint32_t LedgerShards = 4;

} // namespace goldcrestnotch::config
