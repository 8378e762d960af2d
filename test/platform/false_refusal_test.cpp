/// @file
/// End-to-end tests of targets that execute a request and answer it with a
/// status that promises the opposite.

#include <gtest/gtest.h>

#include "fleet.hpp"

namespace platform_test {
namespace {

const Call Order{"/order/1", "key-1", "b1"};
const Call Stock{"/stock/1", "key-1", "c1"};
const Call ResumableStream{"/chat/1", "key-1", "a1", "100,60"};
const Call FinalStream{"/once/1", "key-1", "d1", "100,60"};
constexpr const char *SignatureField = "X-Goldcrestnotch-Replica-Signature";

void failAfterRun(UsersReplica &Replica, int Status) {
  Replica.FailureStatus = Status;
  Replica.CurrentBehavior = UsersReplica::Behavior::Failing;
}

/// @brief Two targets that execute each request and answer it with a status.
class PlatformFalseRefusal : public testing::TestWithParam<int> {
protected:
  void SetUp() override {
    ASSERT_TRUE(TestFleet.waitUntilReady());
    failAfterRun(TestFleet.replica(0), GetParam());
    failAfterRun(TestFleet.replica(1), GetParam());
  }
  /// @brief Expects that the caller does not take a request for not executed.
  void expectNoPromise(const Call &Params) {
    const auto Answer = TestFleet.call(Params);
    EXPECT_EQ(Answer.Status, 502);
    EXPECT_TRUE(Answer.Complete);
    EXPECT_FALSE(Answer.Fields.contains(SignatureField));
    EXPECT_FALSE(Answer.Fields.contains("Retry-After"));
    EXPECT_EQ(TestFleet.runsOf(Params.AttemptId), 1);
  }
  /// @brief Expects that the caller gets the answer as the target sent it.
  void expectUnchanged(const Call &Params) {
    const auto Answer = TestFleet.call(Params);
    EXPECT_EQ(Answer.Status, GetParam());
    EXPECT_TRUE(Answer.Body.starts_with("failed at i-")) << Answer.Body;
    EXPECT_TRUE(Answer.Fields.contains(SignatureField));
  }

  Fleet TestFleet;
};

// A caller was told that an order had not run, and sent it again: it ran twice.
TEST_P(PlatformFalseRefusal, IsNotPassedOnForAnOrder) {
  expectNoPromise(Order);
}

TEST_P(PlatformFalseRefusal, IsNotPassedOnForAStreamThatMayNotBeResumed) {
  expectNoPromise(FinalStream);
}

TEST_P(PlatformFalseRefusal, LosesItsTimeToComeBack) {
  TestFleet.replica(0).FailureRetryAfterS = 0.2;
  TestFleet.replica(1).FailureRetryAfterS = 0.2;
  expectNoPromise(Order);
}

TEST_P(PlatformFalseRefusal, IsPassedOnForWhatMayBeRepeated) {
  expectUnchanged(Stock);
  expectUnchanged(ResumableStream);
}

TEST_P(PlatformFalseRefusal, IsNotPassedOnAfterATrueOne) {
  TestFleet.replica(0).CurrentBehavior = UsersReplica::Behavior::Full;
  for (int I = 0; I < 4; ++I) {
    auto Params = Order;
    Params.AttemptId += "-" + std::to_string(I);
    expectNoPromise(Params);
  }
}

TEST_P(PlatformFalseRefusal, IsCountedAndLoggedWithItsStatus) {
  ASSERT_EQ(TestFleet.call(Order).Status, 502);
  const auto Status = std::to_string(GetParam());
  EXPECT_NE(
      TestFleet.get(Fleet::ReadyPort, "/metrics")
          .Body.find("responses_replaced_total{status=\"" + Status + "\"} 1"),
      std::string::npos);
  EXPECT_TRUE(TestFleet.eventually([&] {
    const auto Output = TestFleet.daemon().output();
    const auto Line = Output.find("\"request\":\"" + Order.AttemptId + "\"");
    const auto Text = Line == std::string::npos
                          ? std::string{}
                          : Output.substr(Line, Output.find('\n', Line) - Line);
    return Text.find("\"status\":502") != std::string::npos &&
           Text.find("\"target_status\":" + Status) != std::string::npos &&
           Text.find("\"cause\":\"refusal_unproven\"") != std::string::npos;
  }));
}

INSTANTIATE_TEST_SUITE_P(Statuses, PlatformFalseRefusal,
                         testing::Values(503, 429, 408));

/// @brief Two targets that refuse with a status and state that they did not
/// execute the request.
class PlatformTrueRefusal : public testing::TestWithParam<int> {
protected:
  void SetUp() override {
    ASSERT_TRUE(TestFleet.waitUntilReady());
    for (int I = 0; I < TestFleet.replicaCount(); ++I) {
      TestFleet.replica(I).RefusalStatus = GetParam();
      TestFleet.replica(I).CurrentBehavior = UsersReplica::Behavior::Full;
    }
  }

  Fleet TestFleet;
};

TEST_P(PlatformTrueRefusal, SendsTheRequestToAnotherTarget) {
  TestFleet.replica(1).CurrentBehavior = UsersReplica::Behavior::Normal;
  for (const auto &Params : {Order, FinalStream, Stock, ResumableStream}) {
    EXPECT_EQ(TestFleet.call(Params).Status, 200) << Params.Path;
    EXPECT_EQ(TestFleet.runsOf(Params.AttemptId), 1);
  }
  EXPECT_EQ(TestFleet.replica(0).runs(), 0U);
}

TEST_P(PlatformTrueRefusal, OfAllTargetsIsPromisedToTheCaller) {
  for (const auto &Params : {Order, FinalStream}) {
    const auto Answer = TestFleet.call(Params);
    EXPECT_EQ(Answer.Status, 503) << Params.Path;
    EXPECT_TRUE(Answer.Fields.contains("Retry-After"));
  }
  EXPECT_EQ(TestFleet.runs(), 0U);
}

// Logs could not tell which target had denied that it ran a request.
TEST_P(PlatformTrueRefusal, IsLoggedWithWhatTheTargetsStated) {
  ASSERT_EQ(TestFleet.call(Order).Status, 503);
  const auto Stated = " " + std::to_string(GetParam()) + " not_executed";
  EXPECT_TRUE(TestFleet.eventually([&] {
    const auto Line = TestFleet.lineOf("request.refused");
    return Line.find("\"request\":\"" + Order.AttemptId + "\"") !=
               std::string::npos &&
           Line.find("i-0" + Stated) != std::string::npos &&
           Line.find("i-1" + Stated) != std::string::npos &&
           Line.find("\"may_repeat\":false") != std::string::npos;
  }));
}

TEST_P(PlatformTrueRefusal, IsCountedByWhetherTheRequestWasSent) {
  const auto Counted = [this](const std::string &Labels) {
    return TestFleet.eventually([&] {
      return TestFleet.get(Fleet::ReadyPort, "/metrics")
                 .Body.find("not_run_responses_total{" + Labels + "} 1") !=
             std::string::npos;
    });
  };
  for (int I = 0; I < TestFleet.replicaCount(); ++I) {
    TestFleet.replica(I).RetryAfterS = 5;
  }
  ASSERT_EQ(TestFleet.call(Order).Status, 503);
  EXPECT_TRUE(Counted(R"(status="503",sent="yes")"));
  auto Second = Order;
  Second.AttemptId += "-2";
  ASSERT_EQ(TestFleet.call(Second).Status, 503); // All targets are paused.
  EXPECT_TRUE(Counted(R"(status="503",sent="no")"));
}

INSTANTIATE_TEST_SUITE_P(Statuses, PlatformTrueRefusal,
                         testing::Values(503, 429, 400));

} // namespace
} // namespace platform_test
