/// @file
/// Judging a version by what all VMs have seen.

#include "goldcrestnotch/rollout/traffic_shift.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

constexpr Instant Start{Millis{100'000}};
constexpr Millis Span{10'000};
const RouteId Chat{"chat"};
const VersionId Old{"v1"};
const VersionId New{"v2"};

TrafficShift begun() { return {New, Start, Start + Span}; }

TEST(TrafficShift, TrialStaysBelowATenth) {
  const auto Move = begun();
  int Chosen = 0;
  for (int I = 0; I < 1'000; ++I) {
    Chosen += Move.chooses(I / 1'000.0);
  }
  EXPECT_GT(Chosen, 0);
  EXPECT_LE(Chosen, 100);
}

TEST(TrafficShift, GoodVersionIsTakenOverBeforeTheDeadline) {
  auto Move = begun();
  EXPECT_EQ(Move.evaluate(Start + Span / 2, {900, 5, 5}, {60, 0, 0}),
            MoveOutcome::InProgress);
  EXPECT_EQ(Move.evaluate(Start + Span * 8 / 10, {1'800, 9, 9}, {120, 1, 0}),
            MoveOutcome::Completed);
}

TEST(TrafficShift, FailingVersionIsTakenBackAtOnce) {
  auto Move = begun();
  EXPECT_EQ(Move.evaluate(Start + Span / 10, {300, 1, 0}, {20, 8, 0}),
            MoveOutcome::RolledBack);
}

TEST(TrafficShift, SlowVersionIsTakenBack) {
  auto Move = begun();
  for (int I = 0; I < 20; ++I) {
    Move.observe(Chat, Old, false, Millis{100});
    Move.observe(Chat, New, false, Millis{500});
  }
  EXPECT_EQ(Move.newCounts().Slow, 20U);
  EXPECT_EQ(
      Move.evaluate(Start + Span / 10, Move.oldCounts(), Move.newCounts()),
      MoveOutcome::RolledBack);
}

TEST(TrafficShift, VmStopsItsOwnTrialAtTheFirstFaults) {
  auto Move = begun();
  for (int I = 0; I < 3; ++I) {
    Move.observe(Chat, New, true, Millis{0});
  }
  EXPECT_FALSE(Move.chooses(0.0));
}

TEST(TrafficShift, VersionThatNobodyCouldTryIsTakenBackAtTheDeadline) {
  auto Move = begun();
  EXPECT_EQ(Move.evaluate(Start + Span * 9 / 10, {100, 0, 0}, {3, 0, 0}),
            MoveOutcome::InProgress);
  EXPECT_EQ(Move.evaluate(Start + Span, {100, 0, 0}, {3, 0, 0}),
            MoveOutcome::RolledBack);
}

TEST(TrafficShift, EndIsFinal) {
  auto Move = begun();
  Move.finish(MoveOutcome::RolledBack);
  Move.finish(MoveOutcome::Completed);
  EXPECT_EQ(Move.end(), MoveOutcome::RolledBack);
  EXPECT_FALSE(Move.chooses(0.0));
}

} // namespace
} // namespace goldcrestnotch
