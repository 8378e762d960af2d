/// @file
/// Compile-time constants on which all processes of a fleet must agree: the
/// folds of the log depend on them.

#pragma once

#include <cstddef>
#include <cstdint>

#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch::config {

/// How long a bill's request id is remembered, in log time. Longer than an
/// engine keeps a finished stream.
inline constexpr Millis BillRetention = std::chrono::minutes{10};
/// How long a claim and the bill of a keyed request are remembered, in log
/// time.
inline constexpr Millis ClaimRetention = std::chrono::hours{24};
/// How long a plan and its end are remembered, in log time.
inline constexpr Millis PlanRetention = std::chrono::hours{48};
/// Longest answer that a claim's outcome keeps, in bytes.
inline constexpr std::size_t MaxOutcomeBytes = 4096;
/// Count of ledger streams.
inline constexpr std::uint32_t LedgerShards = 4;

} // namespace goldcrestnotch::config
