/// @file
/// Tests of the decision after an attempt: a request that may have been
/// executed must never be reported as not executed.

#include "goldcrestnotch/proxy/attempt_plan.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::proxy {
namespace {

using routing::RetryClass;

constexpr std::array UnsuccessfulResults{
    AttemptResult::Unreachable,      AttemptResult::TargetLeft,
    AttemptResult::Quarantined,      AttemptResult::NotExecuted,
    AttemptResult::WrongTarget,      AttemptResult::Failed,
    AttemptResult::TargetSilent,     AttemptResult::ResponseLost,
    AttemptResult::DeadlineExceeded, AttemptResult::ViewOutdated};

AttemptState afterFirstAttempt(RetryClass RetryClass, bool MayHaveRun) {
  AttemptState State;
  State.RetryClass = RetryClass;
  State.MaxAttempts = 3;
  State.Sent = 1;
  State.MayHaveRun = MayHaveRun;
  State.RetryAllowed = true;
  return State;
}

TEST(AttemptPlan, NeverRejectsAsNotExecutedWhatMayHaveRun) {
  for (const auto RetryClass :
       {RetryClass::Idempotent, RetryClass::NotIdempotent,
        RetryClass::Stream}) {
    for (const auto Result : UnsuccessfulResults) {
      EXPECT_NE(nextStep(afterFirstAttempt(RetryClass, true), Result),
                NextStep::Reject);
    }
  }
}

TEST(AttemptPlan, NeverRetriesNonIdempotentRequestThatMayHaveRun) {
  for (const auto RetryClass :
       {RetryClass::NotIdempotent, RetryClass::Stream}) {
    for (const auto Result : UnsuccessfulResults) {
      EXPECT_NE(nextStep(afterFirstAttempt(RetryClass, true), Result),
                NextStep::Retry);
    }
  }
}

TEST(AttemptPlan, RetriesAtAnotherTargetIfNotExecuted) {
  EXPECT_EQ(nextStep(afterFirstAttempt(RetryClass::NotIdempotent, false),
                     AttemptResult::NotExecuted),
            NextStep::Retry);
}

TEST(AttemptPlan, StatusThatPromisesNotExecutedMisleadsIfItMayHaveRun) {
  for (const auto RetryClass :
       {RetryClass::NotIdempotent, RetryClass::Stream}) {
    for (const int Status : {408, 421, 429, 503}) {
      EXPECT_TRUE(misleads(afterFirstAttempt(RetryClass, true), Status));
      EXPECT_FALSE(misleads(afterFirstAttempt(RetryClass, false), Status));
    }
    for (const int Status : {200, 400, 404, 500, 502, 504}) {
      EXPECT_FALSE(misleads(afterFirstAttempt(RetryClass, true), Status));
    }
  }
}

TEST(AttemptPlan, NoStatusMisleadsIfTheRequestMayBeRepeated) {
  auto Stream = afterFirstAttempt(RetryClass::Stream, true);
  Stream.Resumable = true;
  EXPECT_FALSE(misleads(Stream, 503));
  EXPECT_FALSE(misleads(afterFirstAttempt(RetryClass::Idempotent, true), 503));
}

TEST(AttemptPlan, ResumesResumableStream) {
  auto State = afterFirstAttempt(RetryClass::Stream, true);
  State.Resumable = true;
  State.ResponseBegun = true;
  EXPECT_EQ(nextStep(State, AttemptResult::ResponseLost), NextStep::Retry);
  State.Sent = State.MaxAttempts;
  EXPECT_EQ(nextStep(State, AttemptResult::ResponseLost),
            NextStep::AbortResponse);
}

TEST(AttemptPlan, RespectsRetryBudget) {
  auto State = afterFirstAttempt(RetryClass::Idempotent, true);
  State.RetryAllowed = false;
  EXPECT_EQ(nextStep(State, AttemptResult::ResponseLost),
            NextStep::ReportUnknown);
  EXPECT_EQ(nextStep(State, AttemptResult::Failed), NextStep::ForwardFailure);
}

TEST(AttemptPlan, RejectsAfterTooManyUnreachableTargets) {
  auto State = afterFirstAttempt(RetryClass::NotIdempotent, false);
  State.Sent = 0;
  State.Unreachable = MaxUnreachable;
  EXPECT_EQ(nextStep(State, AttemptResult::Unreachable), NextStep::Reject);
}

} // namespace
} // namespace goldcrestnotch::proxy
