/// @file
/// How long ready work waits for the traffic loop. A VM with more callers than
/// it can carry reads requests late; nothing else tells it how late.

#pragma once

#include <algorithm>

#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch::proxy {

/// @brief The delay of the loop from probes that are queued like other work.
/// No I/O, no clock.
class LoopDelay {
public:
  /// A request takes so many turns of the loop from its first byte to a target:
  /// to be read, to be sent, and once more if a connection or tokens are
  /// awaited.
  static constexpr int TurnsToTarget = 3;

  /// @brief What ready work waits now.
  /// @param Now A probe under way shows at least its age.
  [[nodiscard]] Millis now(Instant Now) const noexcept {
    const auto Age =
        Probing ? std::max(Now - ProbeBegun, Millis{0}) : Millis{0};
    return std::max(Last, Age);
  }
  /// @brief When a request was there that has been read now.
  /// @param Fresh It is the first of its connection, which waited a turn to be
  /// accepted.
  [[nodiscard]] Instant arrival(Instant Now, bool Fresh) const noexcept {
    return Now - now(Now) * (Fresh ? 2 : 1);
  }
  /// @brief Whether a request can reach a target and be answered by a deadline.
  /// @param Work Shortest time that an answer takes.
  [[nodiscard]] bool reaches(Instant Now, Instant Deadline,
                             Millis Work) const noexcept {
    return Now + now(Now) * TurnsToTarget + Work <= Deadline;
  }

  /// @brief A probe is queued.
  void begin(Instant Now) noexcept {
    ProbeBegun = Now;
    Probing = true;
  }
  /// @brief The probe has its turn.
  void end(Instant Now) noexcept {
    Last = std::max(Now - ProbeBegun, Millis{0});
    Probing = false;
  }

private:
  Millis Last{0};       ///< Of the last probe.
  Instant ProbeBegun{}; ///< Of the probe under way.
  bool Probing = false;
};

} // namespace goldcrestnotch::proxy
