/// @file
/// Tests of which prompts are refused because they crash their targets.

#include "goldcrestnotch/quarantine/part_quarantine.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::quarantine {
namespace {

constexpr Instant Start{Millis{1'000'000}};
constexpr PromptPart Shared{1};
constexpr PromptPart Crashing{2};
constexpr PromptPart Sound{3};
const std::vector<PromptPart> CrashingPrompt{Shared, Crashing};
const std::vector<PromptPart> SoundPrompt{Shared, Sound};
const std::vector<PromptPart> CrashingPartAlone{Crashing};

/// @brief Records crashes of different targets at different times.
void crash(PartQuarantine &Quarantine, std::size_t Count,
           const std::vector<PromptPart> &Parts, std::uint64_t First = 100,
           CrashEvidence Evidence = CrashEvidence::Begun) {
  for (std::size_t I = 0; I < Count; ++I) {
    const auto When = Start + PartQuarantine::CorrelationTime *
                                  static_cast<std::int64_t>(First + I);
    (void)Quarantine.observeCrash(Start, When, {First + I, 1}, Parts, Evidence);
  }
}

TEST(PartQuarantine, ThreeCrashedTargetsQuarantineAPart) {
  PartQuarantine Quarantine;
  crash(Quarantine, 1, CrashingPrompt);
  EXPECT_EQ(Quarantine.judge(Start, CrashingPrompt), Verdict::Sound);
  crash(Quarantine, 1, CrashingPrompt, 101);
  EXPECT_EQ(Quarantine.judge(Start, CrashingPrompt), Verdict::Suspect);
  crash(Quarantine, 1, CrashingPrompt, 102);
  EXPECT_EQ(Quarantine.judge(Start, CrashingPrompt), Verdict::Refused);
}

TEST(PartQuarantine, FiveTargetsThatEndBeforeTheyRespondQuarantineAPart) {
  PartQuarantine Quarantine;
  crash(Quarantine, 4, CrashingPrompt, 100, CrashEvidence::Waiting);
  EXPECT_EQ(Quarantine.judge(Start, CrashingPrompt), Verdict::Suspect);
  crash(Quarantine, 1, CrashingPrompt, 104, CrashEvidence::Waiting);
  EXPECT_EQ(Quarantine.judge(Start, CrashingPrompt), Verdict::Refused);
}

TEST(PartQuarantine, PromptThatWaitedAtCrashedTargetsIsClearedByAnAnswer) {
  PartQuarantine Quarantine;
  crash(Quarantine, 4, SoundPrompt, 100, CrashEvidence::Waiting);
  (void)Quarantine.observeAnswer(Start, SoundPrompt);
  crash(Quarantine, 4, SoundPrompt, 200, CrashEvidence::Waiting);
  EXPECT_NE(Quarantine.judge(Start, SoundPrompt), Verdict::Refused);
}

TEST(PartQuarantine, OneTargetThatBreaksOffOftenIsNoEvidence) {
  PartQuarantine Quarantine;
  for (int I = 0; I < 10; ++I) {
    crash(Quarantine, 1, CrashingPrompt);
  }
  EXPECT_EQ(Quarantine.judge(Start, CrashingPrompt), Verdict::Sound);
}

TEST(PartQuarantine, TargetsThatCrashAtOnceAreLittleEvidence) {
  PartQuarantine Quarantine;
  for (std::uint64_t I = 0; I < 30; ++I) {
    const auto When = Start + Millis{static_cast<std::int64_t>(I)};
    (void)Quarantine.observeCrash(Start, When, {I, 1}, SoundPrompt);
  }
  EXPECT_EQ(Quarantine.judge(Start, SoundPrompt), Verdict::Sound);
}

TEST(PartQuarantine, PartThatWasAnsweredBeforeIsRefusedForAShortTime) {
  PartQuarantine Quarantine;
  (void)Quarantine.observeAnswer(Start, SoundPrompt);
  crash(Quarantine, 3, SoundPrompt);
  EXPECT_EQ(Quarantine.judge(Start, SoundPrompt), Verdict::Refused);
  EXPECT_EQ(Quarantine.judge(Start + PartQuarantine::MinRefusalOfKnownPart,
                             SoundPrompt),
            Verdict::Suspect);
}

TEST(PartQuarantine, PartThatIsAnsweredInBetweenIsNeverRefused) {
  PartQuarantine Quarantine;
  for (std::uint64_t I = 0; I < 10; ++I) {
    crash(Quarantine, 2, CrashingPrompt, 100 + I * 2);
    EXPECT_EQ(Quarantine.observeAnswer(Start, SoundPrompt).size(), 1U);
    EXPECT_NE(Quarantine.judge(Start, SoundPrompt), Verdict::Refused);
  }
  EXPECT_EQ(Quarantine.judge(Start, CrashingPrompt), Verdict::Refused);
}

TEST(PartQuarantine, PromptThatSharesOnlySomeSuspectedPartsIsTried) {
  PartQuarantine Quarantine;
  crash(Quarantine, 3, CrashingPrompt);
  EXPECT_EQ(Quarantine.judge(Start, SoundPrompt), Verdict::Suspect);
  (void)Quarantine.observeAnswer(Start, SoundPrompt);
  EXPECT_EQ(Quarantine.judge(Start, SoundPrompt), Verdict::Sound);
  EXPECT_EQ(Quarantine.judge(Start, CrashingPrompt), Verdict::Refused);
}

TEST(PartQuarantine, PartThatCrashesWithOthersTooIsRefusedWithAll) {
  PartQuarantine Quarantine;
  crash(Quarantine, 3, CrashingPrompt);
  crash(Quarantine, 1, SoundPrompt, 200); // It was the shared part.
  EXPECT_EQ(Quarantine.judge(Start, SoundPrompt), Verdict::Refused);
}

TEST(PartQuarantine, RelapseIsRefusedAtOnceAndForLonger) {
  PartQuarantine Quarantine;
  crash(Quarantine, 3, CrashingPartAlone);
  const auto After = Start + PartQuarantine::MinRefusal;
  EXPECT_EQ(Quarantine.judge(After, CrashingPrompt), Verdict::Suspect);
  EXPECT_EQ(
      Quarantine.observeCrash(After, After, {500, 1}, CrashingPartAlone).size(),
      1U);
  EXPECT_EQ(Quarantine.deadline(CrashingPrompt),
            After + PartQuarantine::MinRefusal * 2);
}

TEST(PartQuarantine, ReportOfAnotherVmIsTakenOnce) {
  PartQuarantine Quarantine;
  const QuarantinedPart Reported{Crashing, Start + Millis{5'000}};
  Quarantine.adopt(Start, Reported);
  EXPECT_EQ(Quarantine.judge(Start, CrashingPrompt), Verdict::Refused);
  Quarantine.adopt(Start, {Crashing, Start + Millis{9'000}});
  EXPECT_EQ(Quarantine.deadline(CrashingPrompt), Reported.Deadline);
}

TEST(PartQuarantine, ReportFromBeforeAnAnswerIsIgnored) {
  PartQuarantine Quarantine;
  crash(Quarantine, 1, SoundPrompt);
  (void)Quarantine.observeAnswer(Start, SoundPrompt);
  Quarantine.adopt(Start, {Shared, Start + Millis{5'000}});
  EXPECT_EQ(Quarantine.judge(Start, SoundPrompt), Verdict::Sound);
}

TEST(PartQuarantine, SuspicionsAreForgotten) {
  PartQuarantine Quarantine;
  crash(Quarantine, 2, CrashingPrompt);
  Quarantine.expire(Start + PartQuarantine::SuspicionTime);
  EXPECT_EQ(Quarantine.judge(Start, CrashingPrompt), Verdict::Sound);
}

} // namespace
} // namespace goldcrestnotch::quarantine
