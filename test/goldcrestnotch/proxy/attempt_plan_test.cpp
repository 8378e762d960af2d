/// @file
/// What follows a try, and that refusals are true.

#include "goldcrestnotch/proxy/attempt_plan.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::proxy {
namespace {

using routing::RetryClass;

constexpr std::array Ends{TryEnd::Unreachable, TryEnd::NotRun,
                          TryEnd::WrongTarget, TryEnd::Failed,
                          TryEnd::Lost,        TryEnd::Expired};

TryState once(RetryClass Kind, bool MayHaveRun) {
  TryState Result;
  Result.Kind = Kind;
  Result.MostAttempts = 3;
  Result.Sent = 1;
  Result.MayHaveRun = MayHaveRun;
  Result.RetryAllowed = true;
  return Result;
}

TEST(AttemptPlan, NeverSaysNotRunOfWhatMayHaveRun) {
  for (const auto Kind : {RetryClass::Idempotent, RetryClass::NotIdempotent,
                          RetryClass::Stream}) {
    for (const auto End : Ends) {
      EXPECT_NE(nextStep(once(Kind, true), End), NextStep::Refuse);
    }
  }
}

TEST(AttemptPlan, NeverRepeatsWhatMayRunOnce) {
  for (const auto Kind : {RetryClass::NotIdempotent, RetryClass::Stream}) {
    for (const auto End : Ends) {
      EXPECT_NE(nextStep(once(Kind, true), End), NextStep::Again);
    }
  }
}

TEST(AttemptPlan, TriesAnotherTargetAfterARefusal) {
  EXPECT_EQ(nextStep(once(RetryClass::NotIdempotent, false), TryEnd::NotRun),
            NextStep::Again);
}

TEST(AttemptPlan, ResumesAStreamThatMay) {
  auto At = once(RetryClass::Stream, true);
  At.Resumable = true;
  At.Begun = true;
  EXPECT_EQ(nextStep(At, TryEnd::Lost), NextStep::Again);
  At.Sent = At.MostAttempts;
  EXPECT_EQ(nextStep(At, TryEnd::Lost), NextStep::CutOff);
}

TEST(AttemptPlan, KeepsToTheBudgetOfRepeats) {
  auto At = once(RetryClass::Idempotent, true);
  At.RetryAllowed = false;
  EXPECT_EQ(nextStep(At, TryEnd::Lost), NextStep::Unknown);
  EXPECT_EQ(nextStep(At, TryEnd::Failed), NextStep::PassFailure);
}

TEST(AttemptPlan, GivesUpOnTargetsThatCannotBeReached) {
  auto At = once(RetryClass::NotIdempotent, false);
  At.Sent = 0;
  At.Unreachable = MostUnreachable;
  EXPECT_EQ(nextStep(At, TryEnd::Unreachable), NextStep::Refuse);
}

} // namespace
} // namespace goldcrestnotch::proxy
