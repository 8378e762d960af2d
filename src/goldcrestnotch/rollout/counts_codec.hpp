/// @file
/// JSON encoding of a version's request counts.

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include <nlohmann/json.hpp>

#include "goldcrestnotch/rollout/record.hpp"

namespace goldcrestnotch::internal {

[[nodiscard]] inline nlohmann::json countsJson(const VersionCounts &Source) {
  return nlohmann::json::array({Source.Requests, Source.Failed, Source.Slow});
}

/// @brief Reads counts of at most 2^40, so that sums over all VMs stay exact.
[[nodiscard]] inline VersionCounts countsOf(const nlohmann::json &Source) {
  const auto Count = [&Source](std::size_t I) {
    return std::min(Source.at(I).get<std::uint64_t>(), std::uint64_t{1} << 40U);
  };
  return {Count(0), Count(1), Count(2)};
}

} // namespace goldcrestnotch::internal
