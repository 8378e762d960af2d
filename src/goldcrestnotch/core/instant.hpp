/// @file
/// Points in time. Decision objects are handed the present and store
/// deadlines; none of them reads a clock.

#pragma once

#include <chrono>

namespace goldcrestnotch {

/// @brief Clock of decision time: a monotonic clock in daemons, a counter in
/// tests.
struct DecisionClock {
  using duration = std::chrono::milliseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<DecisionClock>;
  static constexpr bool is_steady = true;

  /// @brief Reads the process's monotonic clock.
  [[nodiscard]] static time_point now() noexcept {
    return time_point{std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch())};
  }
};

/// A point in decision time, in milliseconds.
using Instant = DecisionClock::time_point;
/// A span of time, in milliseconds.
using Millis = std::chrono::milliseconds;

/// A point in the platform log's own time, in milliseconds since the epoch.
/// All readers of a record see the same one.
using LogTime = std::chrono::sys_time<Millis>;

} // namespace goldcrestnotch
