/// @file
/// JSON encoding of a version's request counts.

#pragma once

#include <cstdint>

#include <nlohmann/json.hpp>

#include "goldcrestnotch/rollout/record.hpp"

namespace goldcrestnotch::internal {

[[nodiscard]] inline nlohmann::json countsJson(const VersionCounts &Source) {
  return nlohmann::json::array({Source.Requests, Source.Failed, Source.Slow});
}

[[nodiscard]] inline VersionCounts countsOf(const nlohmann::json &Source) {
  return {Source.at(0).get<std::uint64_t>(), Source.at(1).get<std::uint64_t>(),
          Source.at(2).get<std::uint64_t>()};
}

} // namespace goldcrestnotch::internal
