/// @file
/// Tests of the local fault detection during a version move.

#include "goldcrestnotch/rollout/exposure_limiter.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

const Move Order{MoveId{"m"}, RouteId{"chat"}, VersionId{"v1"}, VersionId{"v2"},
                 LogTime{}};
constexpr Instant Start{Millis{1'000}};

Observation observation(const VersionId &Version, bool Failed,
                        Millis FirstByte) {
  return {Order.On, Version, Failed, FirstByte, Millis{5}};
}

TEST(ExposureLimiter, FirstFailureStopsTheNextRequest) {
  ExposureLimiter Limiter{Order};
  EXPECT_TRUE(Limiter.allows(Start));
  Limiter.observe(Start, observation(Order.To, true, Millis{0}));
  EXPECT_FALSE(Limiter.allows(Start));
  EXPECT_TRUE(Limiter.unreportedFault());
}

TEST(ExposureLimiter, FailureOfTheOldVersionStopsNothing) {
  ExposureLimiter Limiter{Order};
  Limiter.observe(Start, observation(Order.From, true, Millis{0}));
  EXPECT_TRUE(Limiter.allows(Start));
}

TEST(ExposureLimiter, AnswerMuchSlowerThanTheBaselineIsAFault) {
  ExposureLimiter Limiter{Order};
  for (int I = 0; I < 5; ++I) {
    Limiter.observe(Start, observation(Order.From, false, Millis{30}));
  }
  Limiter.observe(Start, observation(Order.To, false, Millis{200}));
  EXPECT_FALSE(Limiter.allows(Start));
  EXPECT_EQ(Limiter.newCounts().Slow, 1U);
}

TEST(ExposureLimiter, AnswerWithinTheObjectiveIsGoodWithoutABaseline) {
  ExposureLimiter Limiter{Order};
  Limiter.observe(Start, observation(Order.To, false, Millis{200}));
  EXPECT_TRUE(Limiter.allows(Start));
}

TEST(ExposureLimiter, PausesGrowWithEachFault) {
  ExposureLimiter Limiter{Order};
  Limiter.observe(Start, observation(Order.To, true, Millis{0}));
  Limiter.observe(Start, observation(Order.To, true, Millis{0}));
  EXPECT_FALSE(Limiter.allows(Start + Millis{1'500}));
  EXPECT_TRUE(Limiter.allows(Start + Millis{2'000}));
}

TEST(ExposureLimiter, NothingGoesToTheNewVersionPastItsDeadline) {
  ExposureLimiter Limiter{Order};
  Limiter.expireAt(Start);
  EXPECT_FALSE(Limiter.allows(Start));
}

} // namespace
} // namespace goldcrestnotch
