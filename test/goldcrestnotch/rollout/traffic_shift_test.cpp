/// @file
/// Tests of the choice of versions and of the evaluation of a traffic shift.

#include "goldcrestnotch/rollout/traffic_shift.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

constexpr Instant Start{Millis{100'000}};
constexpr Millis Span{10'000};
const RouteId Chat{"chat"};
const VersionId Old{"v1"};
const VersionId New{"v2"};

TrafficShift startedShift() { return {New, Start, Start + Span}; }

TEST(TrafficShift, TrialStaysBelowATenth) {
  const auto Shift = startedShift();
  int Chosen = 0;
  for (int I = 0; I < 1'000; ++I) {
    Chosen += Shift.chooses(I / 1'000.0);
  }
  EXPECT_GT(Chosen, 0);
  EXPECT_LE(Chosen, 100);
}

TEST(TrafficShift, GoodVersionTakesOverBeforeTheDeadline) {
  auto Shift = startedShift();
  EXPECT_EQ(Shift.evaluate(Start + Span / 2, {900, 5, 5}, {60, 0, 0}),
            MoveOutcome::InProgress);
  EXPECT_EQ(Shift.evaluate(Start + Span * 8 / 10, {1'800, 9, 9}, {120, 1, 0}),
            MoveOutcome::Completed);
}

TEST(TrafficShift, FailingVersionIsRolledBackAtOnce) {
  auto Shift = startedShift();
  EXPECT_EQ(Shift.evaluate(Start + Span / 10, {300, 1, 0}, {20, 8, 0}),
            MoveOutcome::RolledBack);
}

TEST(TrafficShift, SlowVersionIsRolledBack) {
  auto Shift = startedShift();
  for (int I = 0; I < 20; ++I) {
    Shift.observe({Chat, Old, false, Millis{100}});
    Shift.observe({Chat, New, false, Millis{500}});
  }
  EXPECT_EQ(Shift.newCounts().Slow, 20U);
  EXPECT_EQ(
      Shift.evaluate(Start + Span / 10, Shift.oldCounts(), Shift.newCounts()),
      MoveOutcome::RolledBack);
}

TEST(TrafficShift, VersionThatBeginsInTimeAndGoesOnSlowlyIsRolledBack) {
  auto Shift = startedShift();
  for (int I = 0; I < 8; ++I) {
    Shift.observe({Chat, Old, false, Millis{80}, Millis{40}});
  }
  for (int I = 0; I < 8; ++I) {
    Shift.observe({Chat, New, false, Millis{90}, Millis{100}});
  }
  EXPECT_EQ(Shift.newCounts().Slow, 8U);
  EXPECT_EQ(
      Shift.evaluate(Start + Span / 10, Shift.oldCounts(), Shift.newCounts()),
      MoveOutcome::RolledBack);
}

TEST(TrafficShift, ResponsesWithoutEventsSayNothingAboutTheirGaps) {
  auto Shift = startedShift();
  for (int I = 0; I < 8; ++I) {
    Shift.observe({Chat, Old, false, Millis{80}, Millis{0}});
    Shift.observe({Chat, New, false, Millis{80}, Millis{100}});
  }
  EXPECT_EQ(Shift.newCounts().Slow, 0U);
}

TEST(TrafficShift, StreamThatBreaksAfterItWasObservedCountsOnceAsFailed) {
  auto Shift = startedShift();
  Shift.observe({Chat, New, false, Millis{80}, Millis{30}});
  Shift.observeLateFailure(New);
  EXPECT_EQ(Shift.newCounts(), (VersionCounts{1, 1, 0}));
}

TEST(TrafficShift, VmStopsItsOwnTrialAtTheFirstFaults) {
  auto Shift = startedShift();
  for (int I = 0; I < 3; ++I) {
    Shift.observe({Chat, New, true, Millis{0}});
  }
  EXPECT_FALSE(Shift.chooses(0.0));
}

TEST(TrafficShift, VersionWithoutEnoughRequestsIsRolledBackAtTheDeadline) {
  auto Shift = startedShift();
  EXPECT_EQ(Shift.evaluate(Start + Span * 9 / 10, {100, 0, 0}, {3, 0, 0}),
            MoveOutcome::InProgress);
  EXPECT_EQ(Shift.evaluate(Start + Span, {100, 0, 0}, {3, 0, 0}),
            MoveOutcome::RolledBack);
}

TEST(TrafficShift, OutcomeIsFinal) {
  auto Shift = startedShift();
  Shift.finish(MoveOutcome::RolledBack);
  Shift.finish(MoveOutcome::Completed);
  EXPECT_EQ(Shift.end(), MoveOutcome::RolledBack);
  EXPECT_FALSE(Shift.chooses(0.0));
}

} // namespace
} // namespace goldcrestnotch
