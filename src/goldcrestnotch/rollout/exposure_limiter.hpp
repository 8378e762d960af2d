/// @file
/// Local fault detection during a version move: decides which answers are slow,
/// and stops this VM's traffic to the new version at the first fault it sees.

#pragma once

#include <cstdint>
#include <string>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/rollout/observation.hpp"
#include "goldcrestnotch/rollout/record.hpp"
#include "goldcrestnotch/rollout/slow_response_detector.hpp"

namespace goldcrestnotch {

/// @brief The local state of one move. No I/O, no clock.
class ExposureLimiter {
public:
  explicit ExposureLimiter(Move Order);

  /// @brief Whether the new version may get a request.
  [[nodiscard]] bool allows(Instant Now) const noexcept {
    return Now >= PausedUntil && Now < Deadline;
  }
  [[nodiscard]] const VersionCounts &oldCounts() const noexcept { return Old; }
  [[nodiscard]] const VersionCounts &newCounts() const noexcept { return New; }
  /// @brief Whether counts have changed since `markReported`.
  [[nodiscard]] bool unreported() const noexcept { return Unreported; }
  /// @brief Whether a fault has been seen since `markReported`.
  [[nodiscard]] bool unreportedFault() const noexcept {
    return UnreportedFault;
  }

  /// @brief Sets the instant from which on nothing goes to the new version,
  /// whether or not the log can be read.
  void expireAt(Instant When) noexcept { Deadline = When; }
  /// @brief Records the end of a request.
  void observe(Instant Now, const Observation &Result);
  /// @brief Records that the counts have been sent.
  void markReported() noexcept { Unreported = UnreportedFault = false; }

private:
  Move Order;
  VersionCounts Old;
  VersionCounts New;
  SlowResponseDetector Detector;
  Instant PausedUntil{};
  Instant Deadline = Instant::max();
  std::uint32_t Pauses = 0; ///< Since the last good answer.
  bool Unreported = false;
  bool UnreportedFault = false;
};

} // namespace goldcrestnotch
