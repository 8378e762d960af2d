/// @file
/// Implementation of the exposure limiter.

#include "goldcrestnotch/rollout/exposure_limiter.hpp"

#include <algorithm>

namespace goldcrestnotch {

namespace internal {

static constexpr std::uint64_t MinSamples = 3;
/// Weight of the old mean in the moving average.
static constexpr double MeanWeight = 0.95;
static constexpr Millis FirstPause{1'000};
static constexpr std::uint32_t MaxDoublings = 5;
/// Objectives promised to callers; used while there are too few samples.
static constexpr Millis FirstByteObjective{310};
static constexpr Millis EventGapObjective{45};
/// Durations up to these are taken for noise.
static constexpr Millis FirstByteFloor{60};
static constexpr Millis EventGapFloor{8};
static constexpr double FirstByteRatio = 3;
static constexpr double EventGapRatio = 2.5;

} // namespace internal

void ExposureLimiter::Baseline::add(Millis Sample) {
  ++Samples;
  const auto Value = static_cast<double>(Sample.count());
  const double OldWeight =
      std::min(internal::MeanWeight, 1 - 1 / static_cast<double>(Samples));
  MeanMs = MeanMs * OldWeight + Value * (1 - OldWeight);
}

bool ExposureLimiter::Baseline::exceeded(Millis Sample, double Ratio,
                                         Millis Floor, Millis Objective) const {
  if (Samples < internal::MinSamples) {
    return Sample > Objective;
  }
  const double Limit =
      std::max(MeanMs * Ratio, static_cast<double>(Floor.count()));
  return static_cast<double>(Sample.count()) > Limit;
}

bool ExposureLimiter::slow(const Observation &Result) const {
  return FirstByte.exceeded(Result.FirstByte, internal::FirstByteRatio,
                            internal::FirstByteFloor,
                            internal::FirstByteObjective) ||
         EventGap.exceeded(Result.EventGap, internal::EventGapRatio,
                           internal::EventGapFloor,
                           internal::EventGapObjective);
}

void ExposureLimiter::observe(Instant Now, const Observation &Result) {
  const bool IsNew = Result.Version == Order.To;
  if (!IsNew && Result.Version != Order.From) {
    return;
  }
  const bool Slow = !Result.Failed && slow(Result);
  auto &Counts = IsNew ? New : Old;
  ++Counts.Requests;
  Counts.Failed += Result.Failed ? 1 : 0;
  Counts.Slow += Slow ? 1 : 0;
  Unreported = true;
  if (!IsNew) {
    if (!Result.Failed) {
      FirstByte.add(Result.FirstByte);
      EventGap.add(Result.EventGap);
    }
    return;
  }
  if (!Result.Failed && !Slow) {
    Pauses = 0;
    return;
  }
  const auto Doublings = std::min(Pauses, internal::MaxDoublings);
  PausedUntil = Now + internal::FirstPause * (1U << Doublings);
  ++Pauses;
  UnreportedFault = true;
}

} // namespace goldcrestnotch
