/// @file
/// Tests of which requests are refused because they crash their targets.

#include "goldcrestnotch/quarantine/crash_quarantine.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::quarantine {
namespace {

constexpr Instant Start{Millis{1'000'000}};
constexpr CrashSuspect Shared{1};
constexpr CrashSuspect Crashing{2};
constexpr CrashSuspect Sound{3};
const std::vector<CrashSuspect> CrashingPrompt{Shared, Crashing};
const std::vector<CrashSuspect> SoundPrompt{Shared, Sound};
const std::vector<CrashSuspect> CrashingPartAlone{Crashing};

/// @brief Records crashes of different targets at different times.
void crash(CrashQuarantine &Quarantine, std::size_t Count,
           const std::vector<CrashSuspect> &Parts, std::uint64_t First = 100,
           CrashEvidence Evidence = CrashEvidence::Strong) {
  for (std::size_t I = 0; I < Count; ++I) {
    const auto When = Start + CrashQuarantine::CorrelationTime *
                                  static_cast<std::int64_t>(First + I);
    (void)Quarantine.observeCrash(Start, When, {First + I, 1}, Parts, Evidence);
  }
}

TEST(CrashQuarantine, ThreeCrashedTargetsQuarantineAPart) {
  CrashQuarantine Quarantine;
  crash(Quarantine, 1, CrashingPrompt);
  EXPECT_EQ(Quarantine.judge(Start, CrashingPrompt), Verdict::Sound);
  crash(Quarantine, 1, CrashingPrompt, 101);
  EXPECT_EQ(Quarantine.judge(Start, CrashingPrompt), Verdict::Suspect);
  crash(Quarantine, 1, CrashingPrompt, 102);
  EXPECT_EQ(Quarantine.judge(Start, CrashingPrompt), Verdict::Refused);
}

TEST(CrashQuarantine, FiveTargetsThatEndBeforeTheyRespondQuarantineAPart) {
  CrashQuarantine Quarantine;
  crash(Quarantine, 4, CrashingPrompt, 100, CrashEvidence::Weak);
  EXPECT_EQ(Quarantine.judge(Start, CrashingPrompt), Verdict::Suspect);
  crash(Quarantine, 1, CrashingPrompt, 104, CrashEvidence::Weak);
  EXPECT_EQ(Quarantine.judge(Start, CrashingPrompt), Verdict::Refused);
}

TEST(CrashQuarantine, PromptThatWaitedAtCrashedTargetsIsClearedByAnAnswer) {
  CrashQuarantine Quarantine;
  crash(Quarantine, 4, SoundPrompt, 100, CrashEvidence::Weak);
  (void)Quarantine.observeAnswer(Start, SoundPrompt);
  crash(Quarantine, 4, SoundPrompt, 200, CrashEvidence::Weak);
  EXPECT_NE(Quarantine.judge(Start, SoundPrompt), Verdict::Refused);
}

TEST(CrashQuarantine, RequestThatWaitedAtEachCrashedTargetIsServed) {
  CrashQuarantine Quarantine;
  const std::vector<CrashSuspect> CrashingRequest{{4}};
  const std::vector<CrashSuspect> WaitingRequest{{5}};
  crash(Quarantine, 4, CrashingRequest);
  crash(Quarantine, 3, WaitingRequest);
  EXPECT_EQ(Quarantine.judge(Start, CrashingRequest), Verdict::Refused);
  EXPECT_NE(Quarantine.judge(Start, WaitingRequest), Verdict::Refused);
}

TEST(CrashQuarantine, CrashingRequestLeavesThePartsOfItsPromptAlone) {
  CrashQuarantine Quarantine;
  const std::vector<CrashSuspect> CrashingChat{{4}, Shared};
  const std::vector<CrashSuspect> SoundChat{{5}, Shared};
  crash(Quarantine, 3, CrashingChat);
  EXPECT_EQ(Quarantine.judge(Start, CrashingChat), Verdict::Refused);
  EXPECT_NE(Quarantine.judge(Start, SoundChat), Verdict::Refused);
}

TEST(CrashQuarantine, CrashingRequestIsKnownAmongManyThatWaited) {
  CrashQuarantine Quarantine;
  const std::vector<CrashSuspect> CrashingRequest{{4}};
  crash(Quarantine, 2, CrashingRequest);
  for (std::uint64_t I = 0; I < 2 * CrashQuarantine::MaxSuspicions; ++I) {
    crash(Quarantine, 1, {{1'000 + I}});
  }
  crash(Quarantine, 1, CrashingRequest, 102);
  EXPECT_EQ(Quarantine.judge(Start, CrashingRequest), Verdict::Refused);
}

TEST(CrashQuarantine, OneTargetThatBreaksOffOftenIsNoEvidence) {
  CrashQuarantine Quarantine;
  for (int I = 0; I < 10; ++I) {
    crash(Quarantine, 1, CrashingPrompt);
  }
  EXPECT_EQ(Quarantine.judge(Start, CrashingPrompt), Verdict::Sound);
}

TEST(CrashQuarantine, TargetsThatCrashAtOnceAreLittleEvidence) {
  CrashQuarantine Quarantine;
  for (std::uint64_t I = 0; I < 30; ++I) {
    const auto When = Start + Millis{static_cast<std::int64_t>(I)};
    (void)Quarantine.observeCrash(Start, When, {I, 1}, SoundPrompt);
  }
  EXPECT_EQ(Quarantine.judge(Start, SoundPrompt), Verdict::Sound);
}

TEST(CrashQuarantine, PartThatWasAnsweredBeforeIsRefusedForAShortTime) {
  CrashQuarantine Quarantine;
  (void)Quarantine.observeAnswer(Start, SoundPrompt);
  crash(Quarantine, 3, SoundPrompt);
  EXPECT_EQ(Quarantine.judge(Start, SoundPrompt), Verdict::Refused);
  EXPECT_EQ(
      Quarantine.judge(Start + CrashQuarantine::MinRefusalOfKnown, SoundPrompt),
      Verdict::Suspect);
}

TEST(CrashQuarantine, PartThatIsAnsweredInBetweenIsNeverRefused) {
  CrashQuarantine Quarantine;
  for (std::uint64_t I = 0; I < 10; ++I) {
    crash(Quarantine, 2, CrashingPrompt, 100 + I * 2);
    EXPECT_EQ(Quarantine.observeAnswer(Start, SoundPrompt).size(), 1U);
    EXPECT_NE(Quarantine.judge(Start, SoundPrompt), Verdict::Refused);
  }
  EXPECT_EQ(Quarantine.judge(Start, CrashingPrompt), Verdict::Refused);
}

TEST(CrashQuarantine, PromptThatSharesOnlySomeSuspectedPartsIsTried) {
  CrashQuarantine Quarantine;
  crash(Quarantine, 3, CrashingPrompt);
  EXPECT_EQ(Quarantine.judge(Start, SoundPrompt), Verdict::Suspect);
  (void)Quarantine.observeAnswer(Start, SoundPrompt);
  EXPECT_EQ(Quarantine.judge(Start, SoundPrompt), Verdict::Sound);
  EXPECT_EQ(Quarantine.judge(Start, CrashingPrompt), Verdict::Refused);
}

TEST(CrashQuarantine, PartThatCrashesWithOthersTooIsRefusedWithAll) {
  CrashQuarantine Quarantine;
  crash(Quarantine, 3, CrashingPrompt);
  crash(Quarantine, 1, SoundPrompt, 200); // It was the shared part.
  EXPECT_EQ(Quarantine.judge(Start, SoundPrompt), Verdict::Refused);
}

TEST(CrashQuarantine, RelapseIsRefusedAtOnceAndForLonger) {
  CrashQuarantine Quarantine;
  crash(Quarantine, 3, CrashingPartAlone);
  const auto After = Start + CrashQuarantine::MinRefusal;
  EXPECT_EQ(Quarantine.judge(After, CrashingPrompt), Verdict::Suspect);
  EXPECT_EQ(
      Quarantine.observeCrash(After, After, {500, 1}, CrashingPartAlone).size(),
      1U);
  EXPECT_EQ(Quarantine.deadline(CrashingPrompt),
            After + CrashQuarantine::MinRefusal * 2);
}

TEST(CrashQuarantine, ReportOfAnotherVmIsTakenOnce) {
  CrashQuarantine Quarantine;
  const QuarantinedSuspect Reported{Crashing, Start + Millis{5'000}};
  Quarantine.adopt(Start, Reported);
  EXPECT_EQ(Quarantine.judge(Start, CrashingPrompt), Verdict::Refused);
  Quarantine.adopt(Start, {Crashing, Start + Millis{9'000}});
  EXPECT_EQ(Quarantine.deadline(CrashingPrompt), Reported.Deadline);
}

TEST(CrashQuarantine, ReportFromBeforeAnAnswerIsIgnored) {
  CrashQuarantine Quarantine;
  crash(Quarantine, 1, SoundPrompt);
  (void)Quarantine.observeAnswer(Start, SoundPrompt);
  Quarantine.adopt(Start, {Shared, Start + Millis{5'000}});
  EXPECT_EQ(Quarantine.judge(Start, SoundPrompt), Verdict::Sound);
}

TEST(CrashQuarantine, SuspicionsAreForgotten) {
  CrashQuarantine Quarantine;
  crash(Quarantine, 2, CrashingPrompt);
  Quarantine.expire(Start + CrashQuarantine::SuspicionTime);
  EXPECT_EQ(Quarantine.judge(Start, CrashingPrompt), Verdict::Sound);
}

} // namespace
} // namespace goldcrestnotch::quarantine
