/// @file
/// One VM's part in moving a service to another version: which requests go to
/// the new one, what they show, and when all VMs together have seen enough.

#pragma once

#include <cstdint>
#include <map>

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/rollout/move_table.hpp"
#include "goldcrestnotch/rollout/record.hpp"

namespace goldcrestnotch {

/// @brief Bounds of a shift.
struct TrafficShiftSettings {
  /// Part of the requests that go to a version not yet proved. Operators allow
  /// a tenth over all VMs; counts differ between VMs, so less is used.
  double TrialShare = 0.06;
  /// Part of the time after which a version without a fault is taken over.
  double CompletionPoint = 0.7;
  /// Requests that a version must have served before.
  std::uint64_t MinRequests = 20;
  /// A VM stops its own trial at so many faults, if they are a quarter.
  std::uint64_t LocalFaults = 3;
  /// Answers that take this many times as long as the old version's are slow.
  double SlowRatio = 3;
  /// Shorter answers are never slow.
  Millis SlowFloor{60};
};

/// @brief The state of one move of one service. No I/O, no clock.
///
/// Invariant: once `end` is not `Open`, it does not change.
class TrafficShift {
public:
  TrafficShift(VersionId To, Instant Begun, Instant Deadline,
               TrafficShiftSettings Terms = {})
      : To{std::move(To)}, Terms{Terms}, Begun{Begun}, Deadline{Deadline} {}

  [[nodiscard]] const VersionId &version() const noexcept { return To; }
  [[nodiscard]] MoveOutcome end() const noexcept { return End; }
  /// @brief What this VM has seen of each version.
  [[nodiscard]] const VersionCounts &oldCounts() const noexcept { return Old; }
  [[nodiscard]] const VersionCounts &newCounts() const noexcept { return New; }
  /// @brief Whether a request goes to the new version.
  /// @param Draw Uniform in [0, 1).
  [[nodiscard]] bool chooses(double Draw) const noexcept;

  /// @brief Takes the end of a request in.
  void observe(const RouteId &On, const VersionId &Version, bool Failed,
               Millis FirstByte);
  /// @brief Judges by what all VMs have seen.
  /// @return The end that is due; the caller makes it known, then calls
  /// `finish`.
  [[nodiscard]] MoveOutcome evaluate(Instant Now, const VersionCounts &AllOld,
                                     const VersionCounts &AllNew);
  /// @brief The move has ended, by this VM's judgement or another's.
  void finish(MoveOutcome How) noexcept {
    End = End == MoveOutcome::InProgress ? How : End;
  }

private:
  [[nodiscard]] bool slow(const RouteId &On, Millis FirstByte) const;

  VersionId To;
  TrafficShiftSettings Terms;
  Instant Begun;
  Instant Deadline;
  MoveOutcome End = MoveOutcome::InProgress;
  VersionCounts Old;
  VersionCounts New;
  std::map<RouteId, double> UsualMs; ///< Of the old version, averaged.
  VersionCounts Judged;              ///< Of the new version, so far.
  FaultTest Failures;
  FaultTest Slowness;
};

} // namespace goldcrestnotch
