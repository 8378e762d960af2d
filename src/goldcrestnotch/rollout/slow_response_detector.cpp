/// @file
/// Implementation of the detector of slow responses.

#include "goldcrestnotch/rollout/slow_response_detector.hpp"

#include <algorithm>

namespace goldcrestnotch {

namespace internal {

/// Weight of the old mean in the moving average.
static constexpr double MeanWeight = 0.95;

} // namespace internal

void DurationBaseline::add(Millis Sample) {
  ++Samples;
  const auto Value = static_cast<double>(Sample.count());
  const double OldWeight =
      std::min(internal::MeanWeight, 1 - 1 / static_cast<double>(Samples));
  MeanMs = MeanMs * OldWeight + Value * (1 - OldWeight);
}

bool DurationBaseline::exceeded(Millis Sample) const {
  if (Samples < Limits.MinSamples) {
    return Sample > Limits.Objective;
  }
  const double Limit = std::max(MeanMs * Limits.Ratio,
                                static_cast<double>(Limits.Floor.count()));
  return static_cast<double>(Sample.count()) > Limit;
}

void SlowResponseDetector::add(const Observation &Result) {
  FirstByte.add(Result.FirstByte);
  if (Result.EventGap > Millis{0}) {
    EventGap.add(Result.EventGap);
  }
}

bool SlowResponseDetector::slow(const Observation &Result) const {
  return FirstByte.exceeded(Result.FirstByte) ||
         (Result.EventGap > Millis{0} && EventGap.exceeded(Result.EventGap));
}

} // namespace goldcrestnotch
