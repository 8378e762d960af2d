/// @file
/// When a caller that was refused for want of tokens should come back.

#pragma once

#include <algorithm>

#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch::escrow {

/// Tokens that other VMs hold are settled and lent on within about this.
inline constexpr Millis MinRetryAfter{300};
/// Callers with little time left would not come back after longer.
inline constexpr Millis MaxRetryAfter{4'000};

/// @brief How long to wait before tokens are likely to be there.
///
/// While the store can be reached, other VMs give back within a moment. While
/// it can't, nobody can draw: an outage that has lasted some time is taken to
/// last as long again, so callers neither return in vain nor stay away long
/// after a short one.
/// @param Away How long the store has not answered; zero while it does.
/// @param Draw A number in [0, 1) that spreads the callers: up to twice.
[[nodiscard]] constexpr Millis retryAfter(Millis Away,
                                             double Draw) noexcept {
  const auto Base = std::clamp(Away, MinRetryAfter, MaxRetryAfter / 2);
  return Base + Millis{static_cast<std::int64_t>(
                    static_cast<double>(Base.count()) * Draw)};
}

} // namespace goldcrestnotch::escrow
