/// @file
/// Choice of versions and evaluation of a traffic shift.

#include "goldcrestnotch/rollout/traffic_shift.hpp"

#include <algorithm>

namespace goldcrestnotch {

namespace internal {

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

void TrafficShift::observe(const Observation &Result) {
  auto &Detector = Detectors
                       .try_emplace(Result.Route, Settings.SlowFirstByte,
                                    Settings.SlowEventGap)
                       .first->second;
  const bool Slow = !Result.Failed && Detector.slow(Result);
  auto &Counts = Result.Version == To ? New : Old;
  ++Counts.Requests;
  Counts.Failed += Result.Failed ? 1 : 0;
  Counts.Slow += Slow ? 1 : 0;
  if (Result.Version != To && !Result.Failed) {
    Detector.add(Result);
  }
}

void TrafficShift::observeLateFailure(const VersionId &Version) noexcept {
  ++(Version == To ? New : Old).Failed;
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
