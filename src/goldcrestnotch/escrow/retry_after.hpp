/// @file
/// Computes the retry delay given to callers that were refused because this VM
/// held too few tokens.

#pragma once

#include <algorithm>

#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch::escrow {

/// Tokens that other VMs hold are settled and lent again within about this.
inline constexpr Millis MinRetryAfter{300};
/// Callers with little time left would not retry after a longer delay.
inline constexpr Millis MaxRetryAfter{4'000};

/// @brief Estimates when tokens are likely to be available again.
///
/// While the store is reachable, other VMs give tokens back within the minimum
/// delay. While it is unreachable, no VM can draw tokens. An outage that has
/// lasted some time is assumed to last as long again, so that callers neither
/// retry in vain nor stay away long after a short outage.
/// @param Outage How long the store has not answered; zero while it does.
/// @param Jitter A number in [0, 1) that spreads the callers: the delay is up
/// to twice as long.
[[nodiscard]] constexpr Millis retryAfter(Millis Outage,
                                          double Jitter) noexcept {
  const auto Base = std::clamp(Outage, MinRetryAfter, MaxRetryAfter / 2);
  return Base + Millis{static_cast<std::int64_t>(
                    static_cast<double>(Base.count()) * Jitter)};
}

} // namespace goldcrestnotch::escrow
