/// @file
/// Decides how long a VM that was refused a permit sends its requests to other
/// targets before it asks again.

#pragma once

#include <algorithm>
#include <cstddef>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/core/request_rate.hpp"

namespace goldcrestnotch::ratelimit {

/// Requests for permits of all VMs together, as a multiple of the limit. It is
/// above one because a VM has no request to send at the moment it may ask.
inline constexpr double RequestsPerPermit = 2;

/// @brief Returns the delay after a refusal. It grows with the number of VMs,
/// so that an issuer's work depends on the limit and not on the demand.
/// @param Draw A random number, uniform in [0, 1), that spreads the VMs.
[[nodiscard]] inline Millis requestBackoff(RequestRate Limit,
                                           std::size_t VmCount, double Draw) {
  constexpr double MinBackoffMs = 20;
  constexpr double MaxBackoffMs = 60'000;
  const double MeanMs = 1'000 * static_cast<double>(VmCount) /
                        (RequestsPerPermit * Limit.perSecond());
  return Millis{static_cast<std::int64_t>(
      std::clamp(MeanMs * (0.5 + Draw), MinBackoffMs, MaxBackoffMs))};
}

} // namespace goldcrestnotch::ratelimit
