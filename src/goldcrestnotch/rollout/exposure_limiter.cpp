/// @file
/// The brake's rules.

#include "goldcrestnotch/rollout/exposure_limiter.hpp"

#include <algorithm>

namespace goldcrestnotch {

namespace internal {

static constexpr std::uint64_t LeastSamples = 3;
static constexpr double KeptWeight = 0.95;
static constexpr Millis FirstPause{1'000};
static constexpr std::uint32_t MostDoublings = 5;
/// What callers are promised, where no usual time is known.
static constexpr Millis FirstByteGoal{310};
static constexpr Millis BetweenGoal{45};
/// Below these a difference is taken for noise.
static constexpr Millis FirstByteFloor{60};
static constexpr Millis BetweenFloor{8};
static constexpr double FirstByteRatio = 3;
static constexpr double BetweenRatio = 2.5;

} // namespace internal

void ExposureLimiter::Baseline::add(Millis Span) {
  ++Samples;
  const auto Value = static_cast<double>(Span.count());
  const double Kept =
      std::min(internal::KeptWeight, 1 - 1 / static_cast<double>(Samples));
  MeanMs = MeanMs * Kept + Value * (1 - Kept);
}

bool ExposureLimiter::Baseline::exceeded(Millis Span, double Ratio,
                                         Millis Floor, Millis Goal) const {
  if (Samples < internal::LeastSamples) {
    return Span > Goal;
  }
  const double Limit =
      std::max(MeanMs * Ratio, static_cast<double>(Floor.count()));
  return static_cast<double>(Span.count()) > Limit;
}

bool ExposureLimiter::slow(const Observation &Seen) const {
  return FirstByte.exceeded(Seen.FirstByte, internal::FirstByteRatio,
                            internal::FirstByteFloor,
                            internal::FirstByteGoal) ||
         Between.exceeded(Seen.Between, internal::BetweenRatio,
                          internal::BetweenFloor, internal::BetweenGoal);
}

void ExposureLimiter::observe(Instant Now, const Observation &Seen) {
  const bool IsNew = Seen.Version == What.To;
  if (!IsNew && Seen.Version != What.From) {
    return;
  }
  const bool Slow = !Seen.Failed && slow(Seen);
  auto &Counts = IsNew ? New : Old;
  ++Counts.Requests;
  Counts.Failed += Seen.Failed ? 1 : 0;
  Counts.Slow += Slow ? 1 : 0;
  Fresh = true;
  if (!IsNew) {
    if (!Seen.Failed) {
      FirstByte.add(Seen.FirstByte);
      Between.add(Seen.Between);
    }
    return;
  }
  if (!Seen.Failed && !Slow) {
    Pauses = 0;
    return;
  }
  const auto Doublings = std::min(Pauses, internal::MostDoublings);
  PauseDeadline = Now + internal::FirstPause * (1U << Doublings);
  ++Pauses;
  Urgent = true;
}

} // namespace goldcrestnotch
