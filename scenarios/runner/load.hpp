/// @file
/// Load generator: sends requests at a constant rate and measures latency.

#pragma once

#include <nlohmann/json.hpp>

namespace scenario {

/// @brief Sends streamed chat requests at a constant rate to the addresses in
/// turn, and waits for all responses.
/// @param Options `addresses`, `per_second`, `seconds`, `tokens`, `headers`,
/// `threads`.
/// @return `sent`, `good`, `failed`, `first_p50_ms`, `first_p99_ms`,
/// `total_p50_ms`, `total_p99_ms`, `per_second`, `tokens_per_second`. The rates
/// count complete responses only.
[[nodiscard]] nlohmann::json runLoad(const nlohmann::json &Options);

} // namespace scenario
