/// @file
/// Implementation of the exposure limiter.

#include "goldcrestnotch/rollout/exposure_limiter.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestnotch {

namespace internal {

static constexpr Millis FirstPause{1'000};
static constexpr std::uint32_t MaxDoublings = 5;
/// The objectives are those promised to callers.
static constexpr SlowDuration SlowFirstByte{
    .Ratio = 3, .Floor = Millis{60}, .Objective = Millis{310}};
static constexpr SlowDuration SlowEventGap{
    .Ratio = 2.5, .Floor = Millis{8}, .Objective = Millis{45}};

} // namespace internal

ExposureLimiter::ExposureLimiter(Move MoveOrder)
    : Order{std::move(MoveOrder)}, Detector{internal::SlowFirstByte,
                                            internal::SlowEventGap} {}

void ExposureLimiter::observe(Instant Now, const Observation &Result) {
  const bool IsNew = Result.Version == Order.To;
  if (!IsNew && Result.Version != Order.From) {
    return;
  }
  const bool Slow = !Result.Failed && Detector.slow(Result);
  auto &Counts = IsNew ? New : Old;
  ++Counts.Requests;
  Counts.Failed += Result.Failed ? 1 : 0;
  Counts.Slow += Slow ? 1 : 0;
  Unreported = true;
  if (!IsNew) {
    if (!Result.Failed) {
      Detector.add(Result);
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
