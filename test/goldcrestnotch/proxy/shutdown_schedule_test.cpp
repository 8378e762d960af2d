/// @file
/// Tests of the deadlines of a planned stop.

#include "goldcrestnotch/proxy/shutdown_schedule.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::proxy {
namespace {

constexpr Instant Signal{Millis{1'000'000}};
constexpr Millis Granted{8'000};
constexpr Millis OnTime{0};
const ShutdownSchedule Schedule{Signal, Granted};

TEST(ShutdownSchedule, AnyRequestIsAcceptedForAThirdOfTheTime) {
  const auto LatestEnd = Signal + Millis{60'000};
  EXPECT_TRUE(
      Schedule.accepts(Signal + Granted / 3 - Millis{1}, LatestEnd, OnTime));
  EXPECT_FALSE(Schedule.accepts(Signal + Granted / 3, LatestEnd, OnTime));
}

TEST(ShutdownSchedule, RequestThatMustEndInTimeIsAcceptedLater) {
  const auto Now = Signal + Millis{5'000};
  EXPECT_TRUE(Schedule.accepts(Now, Now + Millis{1'500}, OnTime));
  EXPECT_FALSE(Schedule.accepts(Now, Now + Millis{3'000}, OnTime));
}

TEST(ShutdownSchedule, AttemptsEndBeforeTheKill) {
  EXPECT_EQ(Schedule.attemptDeadline(OnTime),
            Signal + Granted - ShutdownSchedule::MinEndMargin);
}

// A target may be at work until the last sixth of the time.
TEST(ShutdownSchedule, LateLoopEndsAttemptsEarlierButNotBeforeTheLastSixth) {
  EXPECT_EQ(Schedule.attemptDeadline(Millis{300}),
            Signal + Granted - ShutdownSchedule::MinEndMargin - Millis{300});
  EXPECT_EQ(Schedule.attemptDeadline(Millis{2'000}),
            Signal + Granted - Granted / 6);
}

TEST(ShutdownSchedule, AnswersEndBeforeTheKill) {
  EXPECT_GT(Schedule.answerDeadline(), Schedule.attemptDeadline(OnTime));
  EXPECT_LT(Schedule.answerDeadline(), Signal + Granted);
}

TEST(ShutdownSchedule, ShortTimeLeavesTheSameMargin) {
  const ShutdownSchedule Short{Signal, Millis{2'000}};
  EXPECT_EQ(Short.attemptDeadline(Millis{1'000}),
            Signal + Millis{2'000} - ShutdownSchedule::MinEndMargin);
}

} // namespace
} // namespace goldcrestnotch::proxy
