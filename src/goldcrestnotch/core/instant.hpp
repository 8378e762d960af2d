/// @file
/// Types for points in time. Classes that make decisions get the current time
/// as a parameter and store deadlines; none of them reads a clock.

#pragma once

#include <chrono>

namespace goldcrestnotch {

/// @brief The clock whose time decisions are based on: a monotonic clock in
/// daemons, a counter in tests.
struct DecisionClock {
  using duration = std::chrono::milliseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<DecisionClock>;
  static constexpr bool is_steady = true;

  /// @brief The current time of the monotonic clock of the process.
  [[nodiscard]] static time_point now() noexcept {
    return time_point{std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch())};
  }
};

/// A point in time of the decision clock, in milliseconds.
using Instant = DecisionClock::time_point;
/// A duration in milliseconds.
using Millis = std::chrono::milliseconds;

/// Longest time that a header or a setting can state; a longer one counts as
/// this one, so that sums with it stay exact.
inline constexpr Millis MaxStatedTime{std::chrono::hours{24}};

/// A point in time of the platform's log, in milliseconds since the epoch. The
/// log assigns it to a record, so all readers of the record see the same time.
using LogTime = std::chrono::sys_time<Millis>;

/// @brief Converts a deadline to the clock of Asio's timers.
[[nodiscard]] inline std::chrono::steady_clock::time_point
toSteadyTime(Instant Deadline) noexcept {
  return std::chrono::steady_clock::time_point{Deadline.time_since_epoch()};
}

} // namespace goldcrestnotch
