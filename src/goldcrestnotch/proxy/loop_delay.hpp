/// @file
/// Measures how long ready work waits for the event loop that carries the
/// traffic. An overloaded VM reads requests late, and the requests themselves
/// do not show how late.

#pragma once

#include <algorithm>

#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch::proxy {

/// @brief Estimates the delay of the loop from probes that are queued like
/// other work. Does no I/O and reads no clock.
class LoopDelay {
public:
  /// Number of turns of the loop between a request's first byte and its arrival
  /// at a target: one to read it, one to send it, and one more if it waits for
  /// a connection or for tokens.
  static constexpr int TurnsToTarget = 3;

  /// @brief The current delay of ready work: that of the last probe, or the
  /// age of a pending probe if that is longer.
  [[nodiscard]] Millis current(Instant Now) const noexcept {
    const auto PendingAge =
        Pending ? std::max(Now - ProbeStart, Millis{0}) : Millis{0};
    return std::max(LastDelay, PendingAge);
  }
  /// @brief Estimates when a request arrived that is read now.
  /// @param First Whether it is the first request of its connection, which also
  /// waited one turn to be accepted.
  [[nodiscard]] Instant arrival(Instant Now, bool First) const noexcept {
    return Now - current(Now) * (First ? 2 : 1);
  }
  /// @brief Whether a request can reach a target and get its response before a
  /// deadline.
  /// @param MinWork Shortest time that a target takes to respond.
  [[nodiscard]] bool canMeet(Instant Now, Instant Deadline,
                             Millis MinWork) const noexcept {
    return Now + current(Now) * TurnsToTarget + MinWork <= Deadline;
  }

  /// @brief Longest time since an instant by which a timer of the loop was
  /// late: for so long this VM could neither read nor write.
  [[nodiscard]] Millis stalledSince(Instant Begin) const noexcept {
    return StallEnd > Begin ? LastStall : Millis{0};
  }
  /// @brief All time so far by which timers of the loop were late.
  [[nodiscard]] Millis totalStall() const noexcept { return TotalStall; }
  /// @brief Records when a timer fired.
  /// @return How late it was, if the loop has stood still; zero otherwise.
  Millis observeTimer(Instant Due, Instant Fired) noexcept {
    TotalStall += std::max(Fired - Due, Millis{0});
    if (Fired - Due < MinStall) {
      return Millis{0};
    }
    // A short one must not hide a longer one that ended just before.
    if (Due - StallEnd >= StallMemory || Fired - Due > LastStall) {
      LastStall = Fired - Due;
    }
    StallEnd = Fired;
    return Fired - Due;
  }

  /// @brief Records that a probe has been queued.
  void beginProbe(Instant Now) noexcept {
    ProbeStart = Now;
    Pending = true;
  }
  /// @brief Records that the loop has run the probe.
  void endProbe(Instant Now) noexcept {
    LastDelay = std::max(Now - ProbeStart, Millis{0});
    Pending = false;
  }

private:
  /// A timer that is later shows that the loop, or the whole VM, stood still.
  static constexpr Millis MinStall{250};
  static constexpr Millis StallMemory{15'000};

  Millis TotalStall{0};
  Millis LastStall{0};  ///< Longest of the last stalls.
  Instant StallEnd{};   ///< When the latest one ended.
  Millis LastDelay{0};  ///< Delay of the last completed probe.
  Instant ProbeStart{}; ///< When the latest probe was queued.
  bool Pending = false; ///< Whether the loop has not run it yet.
};

} // namespace goldcrestnotch::proxy
