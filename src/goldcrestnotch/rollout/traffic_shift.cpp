/// @file
/// Sharing and judging.

#include "goldcrestnotch/rollout/traffic_shift.hpp"

#include <algorithm>

namespace goldcrestnotch {

namespace internal {

/// Weight of one answer in a version's usual time.
static constexpr double UsualPart = 0.05;
/// A quarter of the own trial has to be faults before it stops.
static constexpr std::uint64_t LocalPart = 4;

[[nodiscard]] static double part(std::uint64_t Of, std::uint64_t Whole) {
  return Whole == 0 ? 0.0
                    : static_cast<double>(Of) / static_cast<double>(Whole);
}

} // namespace internal

bool TrafficShift::chooses(double Draw) const noexcept {
  if (End != MoveOutcome::InProgress) {
    return End == MoveOutcome::Completed;
  }
  const auto Faults = New.Failed + New.Slow;
  const bool Stopped = Faults >= Terms.LocalFaults &&
                       Faults * internal::LocalPart >= New.Requests;
  return !Stopped && Draw < Terms.TrialShare;
}

bool TrafficShift::slow(const RouteId &On, Millis FirstByte) const {
  const auto It = UsualMs.find(On);
  const auto Took = static_cast<double>(FirstByte.count());
  return It != UsualMs.end() && FirstByte > Terms.SlowFloor &&
         Took > It->second * Terms.SlowRatio;
}

void TrafficShift::observe(const RouteId &On, const VersionId &Version,
                           bool Failed, Millis FirstByte) {
  const bool Slow = !Failed && slow(On, FirstByte);
  auto &Counts = Version == To ? New : Old;
  ++Counts.Requests;
  Counts.Failed += Failed ? 1 : 0;
  Counts.Slow += Slow ? 1 : 0;
  if (Version != To && !Failed) {
    const auto Took = static_cast<double>(FirstByte.count());
    const auto [It, Fresh] = UsualMs.try_emplace(On, Took);
    It->second += Fresh ? 0.0 : internal::UsualPart * (Took - It->second);
  }
}

MoveOutcome TrafficShift::evaluate(Instant Now, const VersionCounts &AllOld,
                                   const VersionCounts &AllNew) {
  if (End != MoveOutcome::InProgress) {
    return End;
  }
  // A VM that restarts counts anew, so sums may fall for a moment.
  if (AllNew.Requests > Judged.Requests) {
    const auto Since = [](std::uint64_t After, std::uint64_t Before) {
      return After > Before ? After - Before : 0;
    };
    const auto Count = Since(AllNew.Requests, Judged.Requests);
    Failures.update(Count, Since(AllNew.Failed, Judged.Failed),
                    internal::part(AllOld.Failed, AllOld.Requests));
    Slowness.update(Count, Since(AllNew.Slow, Judged.Slow),
                    internal::part(AllOld.Slow, AllOld.Requests));
    Judged = AllNew;
  }
  if (Failures.detected() || Slowness.detected() || Now >= Deadline) {
    return MoveOutcome::RolledBack;
  }
  const auto Span = static_cast<double>((Deadline - Begun).count());
  const auto Gone = static_cast<double>((Now - Begun).count());
  const bool Due = Gone >= Span * Terms.CompletionPoint;
  return Due && AllNew.Requests >= Terms.MinRequests ? MoveOutcome::Completed
                                                     : MoveOutcome::InProgress;
}

} // namespace goldcrestnotch
