/// @file
/// Choice of versions and evaluation of a traffic shift.

#include "goldcrestnotch/rollout/traffic_shift.hpp"

#include <algorithm>

namespace goldcrestnotch {

namespace internal {

/// Weight of one answer in the moving average of a version's time.
static constexpr double SampleWeight = 0.05;
/// A VM stops its own trial only if at least one in this many requests failed
/// or was slow.
static constexpr std::uint64_t MaxRequestsPerFault = 4;

[[nodiscard]] static double ratio(std::uint64_t Part, std::uint64_t Whole) {
  return Whole == 0 ? 0.0
                    : static_cast<double>(Part) / static_cast<double>(Whole);
}

} // namespace internal

bool TrafficShift::chooses(double Draw) const noexcept {
  if (Outcome != MoveOutcome::InProgress) {
    return Outcome == MoveOutcome::Completed;
  }
  const auto Faults = New.Failed + New.Slow;
  const bool Stopped = Faults >= Settings.LocalFaults &&
                       Faults * internal::MaxRequestsPerFault >= New.Requests;
  return !Stopped && Draw < Settings.TrialShare;
}

bool TrafficShift::slow(const RouteId &Route, Millis FirstByte) const {
  const auto It = MeanMs.find(Route);
  const auto Sample = static_cast<double>(FirstByte.count());
  return It != MeanMs.end() && FirstByte > Settings.SlowFloor &&
         Sample > It->second * Settings.SlowRatio;
}

void TrafficShift::observe(const RouteId &Route, const VersionId &Version,
                           bool Failed, Millis FirstByte) {
  const bool Slow = !Failed && slow(Route, FirstByte);
  auto &Counts = Version == To ? New : Old;
  ++Counts.Requests;
  Counts.Failed += Failed ? 1 : 0;
  Counts.Slow += Slow ? 1 : 0;
  if (Version != To && !Failed) {
    const auto Sample = static_cast<double>(FirstByte.count());
    const auto [It, Inserted] = MeanMs.try_emplace(Route, Sample);
    It->second +=
        Inserted ? 0.0 : internal::SampleWeight * (Sample - It->second);
  }
}

MoveOutcome TrafficShift::evaluate(Instant Now, const VersionCounts &AllOld,
                                   const VersionCounts &AllNew) {
  if (Outcome != MoveOutcome::InProgress) {
    return Outcome;
  }
  // A VM that restarts counts from zero, so the sums may fall for a moment.
  if (AllNew.Requests > Evaluated.Requests) {
    const auto Increase = [](std::uint64_t After, std::uint64_t Before) {
      return After > Before ? After - Before : 0;
    };
    const auto Count = Increase(AllNew.Requests, Evaluated.Requests);
    Failures.update(Count, Increase(AllNew.Failed, Evaluated.Failed),
                    internal::ratio(AllOld.Failed, AllOld.Requests));
    Slowness.update(Count, Increase(AllNew.Slow, Evaluated.Slow),
                    internal::ratio(AllOld.Slow, AllOld.Requests));
    Evaluated = AllNew;
  }
  if (Failures.detected() || Slowness.detected() || Now >= Deadline) {
    return MoveOutcome::RolledBack;
  }
  const auto Span = static_cast<double>((Deadline - Begin).count());
  const auto Elapsed = static_cast<double>((Now - Begin).count());
  const bool Due = Elapsed >= Span * Settings.CompletionPoint;
  return Due && AllNew.Requests >= Settings.MinRequests
             ? MoveOutcome::Completed
             : MoveOutcome::InProgress;
}

} // namespace goldcrestnotch
