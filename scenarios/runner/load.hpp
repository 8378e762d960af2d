/// @file
/// Steady load on one or more addresses, and what callers saw of it.

#pragma once

#include <nlohmann/json.hpp>

namespace scenario {

/// @brief Sends chat requests at a rate and waits for all answers.
/// @param Asked `addresses`, `per_second`, `seconds`, `tokens`, `headers`,
/// `threads`.
/// @return `sent`, `good`, `failed`, `first_p50_ms`, `first_p99_ms`,
/// `total_p50_ms`, `total_p99_ms`, `per_second`, `tokens_per_second`.
[[nodiscard]] nlohmann::json runLoad(const nlohmann::json &Asked);

} // namespace scenario
