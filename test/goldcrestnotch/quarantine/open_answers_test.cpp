/// @file
/// Tests of which requests are held against a target that has ended.

#include "goldcrestnotch/quarantine/open_answers.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::quarantine {
namespace {

constexpr Instant Start{Millis{1'000'000}};
constexpr TargetRun FirstRun{7, 1};
constexpr TargetRun NextRun{7, 2};
constexpr TargetRun OtherTarget{8, 1};
const RequestSuspects Suspects{{9}, {{1}, {2}}};

TEST(OpenAnswers, EndOfATargetTakesItsPromptsOnce) {
  OpenAnswers Open;
  (void)Open.open(Start, FirstRun, Suspects);
  (void)Open.open(Start, OtherTarget, Suspects);
  const auto Ended = Open.endRun(FirstRun, false);
  ASSERT_EQ(Ended.size(), 1U);
  EXPECT_EQ(Ended[0].Suspects.all(), Suspects.all());
  EXPECT_FALSE(Ended[0].Begun);
  EXPECT_TRUE(Open.endRun(FirstRun, false).empty());
  EXPECT_EQ(Open.size(), 1U);
}

TEST(OpenAnswers, NextRunOfATargetEndsTheOneBefore) {
  OpenAnswers Open;
  (void)Open.open(Start, FirstRun, Suspects);
  (void)Open.open(Start, NextRun, Suspects);
  EXPECT_EQ(Open.startRun(NextRun).size(), 1U);
  EXPECT_EQ(Open.size(), 1U);
}

TEST(OpenAnswers, HeadOfTheResponseIsRemembered) {
  OpenAnswers Open;
  const auto Key = Open.open(Start, FirstRun, Suspects);
  Open.begin(Start + Millis{50}, Key);
  const auto Ended = Open.endRun(FirstRun, true);
  ASSERT_EQ(Ended.size(), 1U);
  EXPECT_TRUE(Ended[0].Begun);
  EXPECT_EQ(Ended[0].Since, Start + Millis{50});
}

TEST(OpenAnswers, PromptThatWaitsIsKeptIfOnlyBegunOnesAreTaken) {
  OpenAnswers Open;
  (void)Open.open(Start, FirstRun, Suspects);
  EXPECT_TRUE(Open.endRun(FirstRun, true).empty());
  EXPECT_EQ(Open.size(), 1U);
}

TEST(OpenAnswers, AnsweredPromptIsForgotten) {
  OpenAnswers Open;
  Open.close(Open.open(Start, FirstRun, Suspects));
  EXPECT_TRUE(Open.endRun(FirstRun, false).empty());
}

TEST(OpenAnswers, LostResponseIsRememberedForAWhile) {
  OpenAnswers Open;
  Open.lose(Start, Open.open(Start, FirstRun, Suspects));
  Open.expire(Start + OpenAnswers::LossMemory - Millis{1});
  EXPECT_EQ(Open.size(), 1U);
  Open.expire(Start + OpenAnswers::LossMemory);
  EXPECT_EQ(Open.size(), 0U);
}

TEST(OpenAnswers, LossesAreBounded) {
  OpenAnswers Open;
  for (std::size_t I = 0; I < OpenAnswers::MaxLost + 10; ++I) {
    Open.lose(Start, Open.open(Start, FirstRun, Suspects));
  }
  EXPECT_EQ(Open.size(), OpenAnswers::MaxLost);
}

} // namespace
} // namespace goldcrestnotch::quarantine
