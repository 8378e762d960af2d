/// @file
/// Judges whether responses are slow, compared to those of the version that
/// serves already.

#pragma once

#include <cstdint>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/rollout/observation.hpp"

namespace goldcrestnotch {

/// @brief What counts as slow for one kind of duration.
struct SlowDuration {
  double Ratio = 3;                 ///< Multiple of the average.
  Millis Floor{0};                  ///< Shorter ones are never slow.
  std::uint64_t MinSamples = 3;     ///< Of the average, for a judgement by it.
  Millis Objective = Millis::max(); ///< Limit while there are fewer samples.
};

/// @brief Moving average of a duration.
class DurationBaseline {
public:
  explicit DurationBaseline(SlowDuration Limits) : Limits{Limits} {}

  void add(Millis Sample);
  /// @brief Whether a duration is too long compared to the average.
  [[nodiscard]] bool exceeded(Millis Sample) const;

private:
  SlowDuration Limits;
  std::uint64_t Samples = 0;
  double MeanMs = 0;
};

/// @brief The durations of the responses of one version. A response is slow if
/// it begins late, or if its events follow each other slowly: an engine that
/// generates slowly may begin as early as any other. No I/O, no clock.
class SlowResponseDetector {
public:
  SlowResponseDetector(SlowDuration FirstByteLimits,
                       SlowDuration EventGapLimits)
      : FirstByte{FirstByteLimits}, EventGap{EventGapLimits} {}

  /// @brief Adds a successful response of the version to compare with.
  void add(const Observation &Result);
  [[nodiscard]] bool slow(const Observation &Result) const;

private:
  DurationBaseline FirstByte;
  DurationBaseline EventGap;
};

} // namespace goldcrestnotch
