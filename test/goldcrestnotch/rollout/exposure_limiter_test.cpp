/// @file
/// The local brake on a moving version.

#include "goldcrestnotch/rollout/exposure_limiter.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

const Move Given{MoveId{"m"}, RouteId{"chat"}, VersionId{"v1"}, VersionId{"v2"},
                 LogTime{}};
constexpr Instant Start{Millis{1'000}};

Observation seen(const VersionId &Version, bool Failed, Millis First) {
  return {Given.On, Version, Failed, First, Millis{5}};
}

TEST(ExposureLimiter, FirstFailureStopsTheNextRequest) {
  ExposureLimiter Local{Given};
  EXPECT_TRUE(Local.allows(Start));
  Local.observe(Start, seen(Given.To, true, Millis{0}));
  EXPECT_FALSE(Local.allows(Start));
  EXPECT_TRUE(Local.unreportedFault());
}

TEST(ExposureLimiter, FailureOfTheOldVersionStopsNothing) {
  ExposureLimiter Local{Given};
  Local.observe(Start, seen(Given.From, true, Millis{0}));
  EXPECT_TRUE(Local.allows(Start));
}

TEST(ExposureLimiter, AnswerMuchSlowerThanUsualIsAFault) {
  ExposureLimiter Local{Given};
  for (int I = 0; I < 5; ++I) {
    Local.observe(Start, seen(Given.From, false, Millis{30}));
  }
  Local.observe(Start, seen(Given.To, false, Millis{200}));
  EXPECT_FALSE(Local.allows(Start));
  EXPECT_EQ(Local.newCounts().Slow, 1U);
}

TEST(ExposureLimiter, AnswerWithinTheGoalIsGoodWhereNothingIsUsual) {
  ExposureLimiter Local{Given};
  Local.observe(Start, seen(Given.To, false, Millis{200}));
  EXPECT_TRUE(Local.allows(Start));
}

TEST(ExposureLimiter, EachPauseIsLongerThanTheLast) {
  ExposureLimiter Local{Given};
  Local.observe(Start, seen(Given.To, true, Millis{0}));
  Local.observe(Start, seen(Given.To, true, Millis{0}));
  EXPECT_FALSE(Local.allows(Start + Millis{1'500}));
  EXPECT_TRUE(Local.allows(Start + Millis{2'000}));
}

TEST(ExposureLimiter, NothingGoesToTheNewVersionPastItsDeadline) {
  ExposureLimiter Local{Given};
  Local.expireAt(Start);
  EXPECT_FALSE(Local.allows(Start));
}

} // namespace
} // namespace goldcrestnotch
