/// @file
/// One VM's part in moving a service to another version: which requests go to
/// the new version, how they compare with the old one, and when the counts of
/// all VMs are enough to end the move.

#pragma once

#include <cstdint>
#include <map>

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/rollout/move_table.hpp"
#include "goldcrestnotch/rollout/observation.hpp"
#include "goldcrestnotch/rollout/record.hpp"
#include "goldcrestnotch/rollout/slow_response_detector.hpp"

namespace goldcrestnotch {

/// @brief Limits and thresholds of a traffic shift.
struct TrafficShiftSettings {
  /// Share of the requests that go to the new version while it is on trial.
  /// Operators allow a tenth over all VMs; counts differ between VMs, so less
  /// is used.
  double TrialShare = 0.06;
  /// Fraction of the time after which a version without a fault takes over.
  double CompletionPoint = 0.7;
  /// Number of requests that the new version must have served by then.
  std::uint64_t MinRequests = 20;
  /// A VM stops its own trial at this many faults, if they are at least a
  /// quarter of its requests to the new version.
  std::uint64_t LocalFaults = 3;
  /// The new version reads prompts that the old one has cached, so the limit on
  /// the first byte is wide.
  SlowDuration SlowFirstByte{.Ratio = 3, .Floor = Millis{60}, .MinSamples = 1};
  /// The limit on the time between events is narrow, since the engines of the
  /// trial may be less loaded than those of the old version.
  SlowDuration SlowEventGap{.Ratio = 2, .Floor = Millis{8}};
};

/// @brief The state of one move of one service. No I/O, no clock.
///
/// Invariant: once `end` is not `InProgress`, it does not change.
class TrafficShift {
public:
  TrafficShift(VersionId To, Instant Begin, Instant Deadline,
               TrafficShiftSettings Settings = {})
      : To{std::move(To)}, Settings{Settings}, Begin{Begin}, Deadline{
                                                                 Deadline} {}

  /// @brief The new version.
  [[nodiscard]] const VersionId &version() const noexcept { return To; }
  [[nodiscard]] MoveOutcome end() const noexcept { return Outcome; }
  /// @brief What this VM has observed of the old version.
  [[nodiscard]] const VersionCounts &oldCounts() const noexcept { return Old; }
  /// @brief What this VM has observed of the new version.
  [[nodiscard]] const VersionCounts &newCounts() const noexcept { return New; }
  /// @brief Whether a request goes to the new version.
  /// @param Draw A random number, uniform in [0, 1).
  [[nodiscard]] bool chooses(double Draw) const noexcept;

  /// @brief Fraction of the new version's targets that requests go to. On trial
  /// it equals the share of requests, so each of these targets gets as much as
  /// it will after the move: a version that is slow or fails under load shows
  /// it, and its durations compare with those of the old one.
  [[nodiscard]] double targetShare() const noexcept {
    return Outcome == MoveOutcome::InProgress ? Settings.TrialShare : 1;
  }

  /// @brief Records a response that has ended or has told enough.
  void observe(const Observation &Result);
  /// @brief Records that a response that was observed as good has failed.
  void observeLateFailure(const VersionId &Version) noexcept;
  /// @brief Evaluates the counts of all VMs.
  /// @return The outcome that is due. The caller publishes it and then calls
  /// `finish`.
  [[nodiscard]] MoveOutcome evaluate(Instant Now, const VersionCounts &AllOld,
                                     const VersionCounts &AllNew);
  /// @brief Ends the move, as decided by this VM or another one.
  void finish(MoveOutcome Final) noexcept {
    Outcome = Outcome == MoveOutcome::InProgress ? Final : Outcome;
  }

private:
  VersionId To;
  TrafficShiftSettings Settings;
  Instant Begin;
  Instant Deadline;
  MoveOutcome Outcome = MoveOutcome::InProgress;
  VersionCounts Old;
  VersionCounts New;
  /// Durations of the old version.
  std::map<RouteId, SlowResponseDetector> Detectors;
  /// Counts of the new version at the last evaluation.
  VersionCounts Evaluated;
  FaultTest Failures;
  FaultTest Slowness;
};

} // namespace goldcrestnotch
