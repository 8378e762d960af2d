/// @file
/// What callers and replicas see of real daemons, on good days and bad.

#include "fleet.hpp"

#include <csignal>
#include <future>

#include <gtest/gtest.h>

namespace platform_test {
namespace {

const Call Chat{"/chat/1", "key-1", "a1", "100,60"};
const Call Order{"/order/1", "key-1", "b1"};
const Call Stock{"/stock/1", "key-1", "c1"};
/// @brief The same request as an attempt of its own.
Call numbered(Call What, int Number) {
  What.Id = What.Id.front() + std::to_string(Number);
  return What;
}

TEST(Platform, ServesStreamsAndCalls) {
  Fleet All;
  ASSERT_TRUE(All.ready());
  const auto Streamed = All.call(Chat);
  EXPECT_EQ(Streamed.Status, 200);
  EXPECT_TRUE(Streamed.Whole);
  EXPECT_EQ(Streamed.Body, WholeStream);
  EXPECT_TRUE(Streamed.Fields.contains("X-Goldcrestnotch-Replica-Signature"));
  EXPECT_EQ(All.call(Order).Status, 200);
  EXPECT_EQ(All.call(Stock).Status, 200);
  EXPECT_EQ(All.runs(), 3U);
}

TEST(Platform, ReplicaLearnsTheWorkspaceAndNeverTheKey) {
  Fleet All{1};
  ASSERT_TRUE(All.ready());
  EXPECT_EQ(All.call(Order).Status, 200);
  const auto Seen = All.engine(0).lastHeaders();
  EXPECT_EQ(Seen.at("X-Goldcrestnotch-Tenant"), "stall");
  EXPECT_FALSE(Seen.contains("Authorization"));
  EXPECT_LT(std::stoi(Seen.at("X-Goldcrestnotch-Deadline-Ms")), 5'000);
}

TEST(Platform, RefusesUnknownKeysAndRoutes) {
  Fleet All;
  ASSERT_TRUE(All.ready());
  auto Wrong = Order;
  Wrong.Key = "key-9";
  EXPECT_EQ(All.call(Wrong).Status, 401);
  Wrong = Order;
  Wrong.Path = "/nowhere/1";
  EXPECT_EQ(All.call(Wrong).Status, 404);
  EXPECT_EQ(All.runs(), 0U);
}

TEST(Platform, KeepsToTheBudgetOverKills) {
  Fleet All{1, 2};
  constexpr int Cost = 100 + 5 * 6;
  constexpr int Paid = 20;
  All.publish(2, Cost * Paid + 60);
  ASSERT_TRUE(All.ready(0));
  ASSERT_TRUE(All.ready(1));
  int Served = 0;
  for (int I = 0; I < 60; ++I) {
    const auto Next = numbered(Chat, I);
    Served += All.call(Next, I % 2).Status == 200;
    if (I == 5 || I == 25) {
      All.daemon(I % 2).signal(SIGKILL);
      ASSERT_TRUE(All.daemon(I % 2).wait(2'000));
      All.start(I % 2);
      ASSERT_TRUE(All.ready(I % 2));
    }
  }
  EXPECT_GT(Served, 0);
  EXPECT_LE(All.runs(), static_cast<std::uint64_t>(Paid));
}

TEST(Platform, RequestWithoutAnAnswerCostsNothing) {
  Fleet All;
  All.publish(2, 400);
  ASSERT_TRUE(All.ready());
  All.engine(0).CurrentBehavior = All.engine(1).CurrentBehavior =
      UsersReplica::Behavior::Disconnecting;
  for (int I = 0; I < 4; ++I) {
    const auto Next = numbered(Chat, I);
    EXPECT_NE(All.call(Next).Status, 200);
  }
  EXPECT_GE(All.runs(), 4U);
  All.engine(0).CurrentBehavior = All.engine(1).CurrentBehavior =
      UsersReplica::Behavior::Normal;
  auto Last = Chat;
  Last.Id = "a9";
  EXPECT_EQ(All.call(Last).Status, 200);
}

TEST(Platform, TopUpTakesEffect) {
  Fleet All;
  All.publish(2, 100);
  ASSERT_TRUE(All.ready());
  ASSERT_TRUE(All.eventually([&] { return All.call(Chat).Status == 402; }));
  All.publish(3, 100'000);
  EXPECT_TRUE(All.eventually([&] { return All.call(Chat).Status == 200; }));
}

TEST(Platform, OrderThatMayHaveRunIsNotRepeated) {
  Fleet All;
  ASSERT_TRUE(All.ready());
  All.engine(0).CurrentBehavior = All.engine(1).CurrentBehavior =
      UsersReplica::Behavior::Disconnecting;
  EXPECT_EQ(All.call(Order).Status, 502);
  EXPECT_EQ(All.runs(), 1U);
}

TEST(Platform, OrderThatWasRefusedGoesElsewhere) {
  Fleet All;
  ASSERT_TRUE(All.ready());
  All.engine(0).CurrentBehavior = UsersReplica::Behavior::Full;
  for (int I = 0; I < 4; ++I) {
    const auto Next = numbered(Order, I);
    EXPECT_EQ(All.call(Next).Status, 200);
  }
  EXPECT_EQ(All.engine(0).runs(), 0U);
}

TEST(Platform, RefusalBySaturatedReplicasSaysWhenToComeBack) {
  Fleet All;
  ASSERT_TRUE(All.ready());
  All.engine(0).CurrentBehavior = All.engine(1).CurrentBehavior =
      UsersReplica::Behavior::Full;
  const auto Refused = All.call(Order);
  EXPECT_EQ(Refused.Status, 503);
  EXPECT_GT(std::stod(Refused.Fields.at("Retry-After")), 0.0);
  EXPECT_EQ(All.runs(), 0U);
}

TEST(Platform, ReadIsRepeatedAfterAFailure) {
  Fleet All;
  ASSERT_TRUE(All.ready());
  All.engine(0).CurrentBehavior = UsersReplica::Behavior::Failing;
  for (int I = 0; I < 4; ++I) {
    const auto Next = numbered(Stock, I);
    EXPECT_EQ(All.call(Next).Status, 200);
  }
}

TEST(Platform, TornStreamGoesOnAtAnotherReplica) {
  Fleet All;
  ASSERT_TRUE(All.ready());
  All.engine(0).CurrentBehavior = UsersReplica::Behavior::TruncatingStream;
  for (int I = 0; I < 4; ++I) {
    const auto Next = numbered(Chat, I);
    const auto Streamed = All.call(Next);
    EXPECT_TRUE(Streamed.Whole);
    EXPECT_EQ(Streamed.Body, WholeStream);
  }
}

TEST(Platform, TornStreamThatCannotGoOnDoesNotLookWhole) {
  Fleet All;
  ASSERT_TRUE(All.ready());
  All.engine(0).CurrentBehavior = All.engine(1).CurrentBehavior =
      UsersReplica::Behavior::TruncatingStream;
  EXPECT_FALSE(All.call(Chat).Whole);
}

TEST(Platform, AnswerToAnotherRequestIsPassedOver) {
  Fleet All{1};
  ASSERT_TRUE(All.ready());
  All.engine(0).CurrentBehavior = UsersReplica::Behavior::StaleReply;
  for (int I = 0; I < 3; ++I) {
    const auto Next = numbered(Order, I);
    EXPECT_EQ(All.call(Next).Body, "done by i-0");
  }
}

/// Bytes of an endless answer that a VM and the kernel's buffers may take.
constexpr std::uint64_t MostNoise = 24U << 20U;

/// @brief An order gets bytes without end; the caller is told the truth, and
/// other requests are served meanwhile.
void meetsNoise(UsersReplica::Behavior Behavior) {
  Fleet All{2};
  ASSERT_TRUE(All.ready());
  All.engine(0).CurrentBehavior = All.engine(1).CurrentBehavior = Behavior;
  auto Noisy = std::async(std::launch::async, [&] { return All.call(Order); });
  EXPECT_EQ(Noisy.get().Status, 502);
  EXPECT_EQ(All.runsOf(Order.Id), 1);
  EXPECT_TRUE(All.eventually([&] {
    const auto Before =
        All.engine(0).endlessBytesSent() + All.engine(1).endlessBytesSent();
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
    return All.engine(0).endlessBytesSent() +
               All.engine(1).endlessBytesSent() ==
           Before;
  }));
  EXPECT_LE(All.engine(0).endlessBytesSent() + All.engine(1).endlessBytesSent(),
            MostNoise);
  All.engine(0).CurrentBehavior = All.engine(1).CurrentBehavior =
      UsersReplica::Behavior::Normal;
  EXPECT_TRUE(All.eventually(
      [&] { return All.call(numbered(Order, 5)).Status == 200; }));
}

TEST(Platform, HeadWithoutEndIsCutOff) {
  meetsNoise(UsersReplica::Behavior::OversizedHead);
}

TEST(Platform, BodyWithoutEndIsCutOff) {
  meetsNoise(UsersReplica::Behavior::EndlessBody);
}

TEST(Platform, AnswerToAnotherRequestWithoutEndIsCutOff) {
  meetsNoise(UsersReplica::Behavior::StaleEndlessBody);
}

TEST(Platform, EventWithoutEndIsCutOff) {
  Fleet All{2};
  ASSERT_TRUE(All.ready());
  All.engine(0).CurrentBehavior = All.engine(1).CurrentBehavior =
      UsersReplica::Behavior::EndlessBody;
  const auto Got = All.call(Chat);
  EXPECT_FALSE(Got.Status == 200 && Got.Whole);
  EXPECT_LE(All.engine(0).endlessBytesSent() + All.engine(1).endlessBytesSent(),
            MostNoise);
}

TEST(Platform, LeavingReplicaGetsNothingMore) {
  Fleet All;
  ASSERT_TRUE(All.ready());
  All.state(All.engine(0), "draining");
  std::this_thread::sleep_for(std::chrono::milliseconds{1'000});
  const auto Before = All.engine(0).runs();
  for (int I = 0; I < 10; ++I) {
    const auto Next = numbered(Order, I);
    EXPECT_EQ(All.call(Next).Status, 200);
  }
  EXPECT_EQ(All.engine(0).runs(), Before);
}

TEST(Platform, GoesOnWhileTheStoreIsDown) {
  Fleet All;
  ASSERT_TRUE(All.ready());
  ASSERT_TRUE(All.eventually([&] { return All.call(Chat).Status == 200; }));
  All.Store.Down = true;
  std::this_thread::sleep_for(std::chrono::milliseconds{1'500});
  EXPECT_EQ(All.call(Chat).Status, 200);
  EXPECT_EQ(All.call(Order).Status, 200);
  All.publish(2, 1'000'000, {"key-2"});
  All.Store.Down = false;
  auto Next = Order;
  Next.Key = "key-2";
  EXPECT_TRUE(All.eventually([&] { return All.call(Next).Status == 200; }));
  EXPECT_EQ(All.call(Order).Status, 401);
}

TEST(Platform, VmThatStartsWhileTheStoreIsDownAsksAnother) {
  Fleet All{2, 2};
  ASSERT_TRUE(All.ready(0));
  ASSERT_TRUE(All.ready(1));
  ASSERT_TRUE(All.eventually([&] { return All.call(Chat).Status == 200; }));
  All.Store.Down = true;
  All.daemon(1).signal(SIGKILL);
  ASSERT_TRUE(All.daemon(1).wait(2'000));
  All.start(1);
  ASSERT_TRUE(All.ready(1));
  EXPECT_EQ(All.call(Order, 1).Status, 200);
  // Tokens come from the other VM.
  EXPECT_TRUE(All.eventually([&] { return All.call(Chat, 1).Status == 200; }));
}

TEST(Platform, NothingIsSentForACallerWhoLeftWhileTokensWereAwaited) {
  Fleet All;
  ASSERT_TRUE(All.ready());
  ASSERT_TRUE(All.eventually([&] { return All.call(Chat).Status == 200; }));
  const auto Before = All.runs();
  // More than is held ahead, and each call of the store takes some 100 ms.
  All.StoreWay.CurrentMode = standin::FaultyLink::Mode::Slow;
  auto Large = numbered(Chat, 7);
  Large.Usage = "500000,60";
  All.leave(Large, 40);
  std::this_thread::sleep_for(std::chrono::milliseconds{800});
  EXPECT_EQ(All.runs(), Before);
  Large.Id = "a8";
  EXPECT_TRUE(All.eventually([&] { return All.call(Large).Status == 200; }));
}

TEST(Platform, LostAnswersOfTheStoreDoNoHarm) {
  Fleet All{1, 2};
  constexpr int Cost = 100 + 5 * 6;
  All.publish(2, Cost * 10 + 60);
  All.Store.LoseAnswers = true;
  ASSERT_TRUE(All.ready(0));
  ASSERT_TRUE(All.ready(1));
  for (int I = 0; I < 30; ++I) {
    const auto Next = numbered(Chat, I);
    (void)All.call(Next, I % 2);
  }
  EXPECT_GT(All.runs(), 0U);
  EXPECT_LE(All.runs(), 10U);
}

TEST(Platform, HistoryThatIsDroppedIsReadAnew) {
  Fleet All;
  ASSERT_TRUE(All.ready());
  All.Store.Down = true;
  std::this_thread::sleep_for(std::chrono::milliseconds{300});
  All.publish(2, 1'000'000, {"key-2"});
  All.Store.put("keyed.servers", "i-0", std::nullopt);
  All.Store.compact("keyed.op");
  All.Store.compact("keyed.servers");
  All.Store.Down = false;
  auto Next = Order;
  Next.Key = "key-2";
  EXPECT_TRUE(All.eventually([&] { return All.call(Next).Status == 200; }));
}

TEST(Platform, UnreadableRecordsArePassedOver) {
  Fleet All;
  ASSERT_TRUE(All.ready());
  All.Store.put("keyed.op", "config", "{\"version\": 9, \"routes\": 7}");
  All.Store.put("keyed.servers", "i-x", "\xff\x01");
  All.Store.put("keyed.servers", "i-y", R"({"service":1,"address":"x"})");
  All.Store.put("keyed.escrow", "no-holder", "\x01");
  std::this_thread::sleep_for(std::chrono::milliseconds{700});
  EXPECT_EQ(All.call(Order).Status, 200);
  EXPECT_NE(All.daemon().output().find("config.unreadable"), std::string::npos);
}

TEST(Platform, ConfigurationNeverGoesBack) {
  Fleet All;
  ASSERT_TRUE(All.ready());
  All.publish(5, 1'000'000, {"key-5"});
  auto Next = Order;
  Next.Key = "key-5";
  ASSERT_TRUE(All.eventually([&] { return All.call(Next).Status == 200; }));
  All.publish(4, 1'000'000, {"key-1"});
  std::this_thread::sleep_for(std::chrono::milliseconds{500});
  EXPECT_EQ(All.call(Next).Status, 200);
}

TEST(Platform, ShutdownFinishesWhatRuns) {
  Fleet All{1};
  ASSERT_TRUE(All.ready());
  All.engine(0).EventDelayMs = 200;
  auto Running = std::async(std::launch::async, [&] { return All.call(Chat); });
  ASSERT_TRUE(All.eventually([&] { return All.runs() == 1; }));
  All.daemon().signal(SIGTERM);
  EXPECT_TRUE(All.eventually([&] {
    return All.ask(Fleet::ReadyPort, "/api/readiness").Status == 503;
  }));
  EXPECT_EQ(Running.get().Body, WholeStream);
  EXPECT_EQ(All.daemon().wait(4'000), 0);
}

// Requests taken over 3 s after the signal were cut off at the limit: streams
// of 3 s, begun 4.3 s after it, with 8 s in all.
TEST(Platform, ShutdownTakesNothingThatMayNotEnd) {
  Fleet All{1};
  ASSERT_TRUE(All.ready());
  All.engine(0).EventDelayMs = 500;
  auto Running = std::async(std::launch::async, [&] { return All.call(Chat); });
  ASSERT_TRUE(All.eventually([&] { return All.runs() == 1; }));
  All.daemon().signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds{1'700});
  const auto Late = All.call(Order);
  EXPECT_TRUE(Late.Status == 0 || Late.Status == 503) << Late.Status;
  EXPECT_EQ(All.runs(), 1U);
  EXPECT_EQ(Running.get().Body, WholeStream);
}

TEST(Platform, DirectoryNamesTheVmsThatTakeCallers) {
  Fleet All{1, 2};
  const std::string Path =
      "/api/resolve?name=shop.example&region=r&zone=zone-a";
  const auto Count = [&] {
    const auto Answer = All.ask(Fleet::DirectoryPort, Path);
    return Answer.Status == 200
               ? json::parse(Answer.Body).at("addresses").size()
               : 0U;
  };
  ASSERT_TRUE(All.ready(0));
  EXPECT_TRUE(All.eventually([&] { return Count() == 2; }));
  All.daemon(1).signal(SIGTERM);
  EXPECT_TRUE(All.eventually([&] { return Count() == 1; }, 1'500));
}

/// Orders a move to v2, which half of the replicas run, and sends reads until
/// it ends.
std::string endOfMove(Fleet &All) {
  for (const int Number : {2, 3}) {
    All.engine(Number).Version = "v2";
    All.state(All.engine(Number), "ready");
  }
  std::this_thread::sleep_for(std::chrono::milliseconds{500});
  All.Store.put("keyed.op", "rollout/engines",
                R"({"service":"engines","target":"v2","durationS":5})");
  std::string State;
  int Sent = 0;
  EXPECT_TRUE(All.eventually(
      [&] {
        for (int I = 0; I < 10; ++I) {
          auto Next = Stock;
          Next.Id = "m" + std::to_string(++Sent);
          (void)All.call(Next);
        }
        const auto Status = All.Store.value("keyed.status", "rollout/engines");
        State = Status ? json::parse(*Status).at("state") : "";
        return State == "completed" || State == "rolled_back";
      },
      10'000));
  return State;
}

TEST(Platform, GoodVersionIsTakenOver) {
  Fleet All{4};
  ASSERT_TRUE(All.ready());
  EXPECT_EQ(endOfMove(All), "completed");
  const auto Before = All.engine(0).runs() + All.engine(1).runs();
  for (int I = 0; I < 10; ++I) {
    auto Next = Stock;
    Next.Id = "n" + std::to_string(I);
    EXPECT_EQ(All.call(Next).Status, 200);
  }
  EXPECT_EQ(All.engine(0).runs() + All.engine(1).runs(), Before);
}

TEST(Platform, BadVersionIsTakenBackAndGetsLittle) {
  Fleet All{4};
  ASSERT_TRUE(All.ready());
  All.engine(2).CurrentBehavior = All.engine(3).CurrentBehavior =
      UsersReplica::Behavior::Failing;
  EXPECT_EQ(endOfMove(All), "rolled_back");
  const auto Bad = All.engine(2).runs() + All.engine(3).runs();
  EXPECT_LE(Bad, All.runs() / 10 + 50);
  for (int I = 0; I < 10; ++I) {
    auto Next = Stock;
    Next.Id = "n" + std::to_string(I);
    EXPECT_EQ(All.call(Next).Status, 200);
  }
  EXPECT_EQ(All.engine(2).runs() + All.engine(3).runs(), Bad);
}

TEST(Platform, MetricsAreServed) {
  Fleet All;
  ASSERT_TRUE(All.ready());
  ASSERT_EQ(All.call(Order).Status, 200);
  const auto Text = All.ask(Fleet::ReadyPort, "/metrics").Body;
  EXPECT_NE(Text.find("requests_total{outcome=\"ok\"} 1"), std::string::npos);
}

TEST(Platform, LongHistoryOnANarrowLinkHoldsNothingUp) {
  Fleet All{1};
  ASSERT_TRUE(All.ready());
  EXPECT_EQ(All.call(Chat).Status, 200);
  All.StoreWay.CurrentMode = standin::FaultyLink::Mode::Stalled;
  // As many VMs write while a VM is cut off for some seconds.
  const std::string Filler(1'000, 'x');
  for (int I = 0; I < 3'000; ++I) {
    All.Store.put("keyed.escrow", "10.0.0." + std::to_string(I % 60) + "/boot",
                  Filler);
  }
  All.publish(2, 1'000'000, {"key-1", "key-2"});
  std::this_thread::sleep_for(std::chrono::milliseconds{1'500});
  All.StoreWay.CurrentMode = standin::FaultyLink::Mode::Slow;
  auto Large = Chat;
  Large.Usage = "600000,60"; // More than a VM holds ahead.
  EXPECT_TRUE(All.eventually(
      [&] {
        static int Number = 0;
        return All.call(numbered(Large, ++Number)).Status == 200;
      },
      4'000));
}

} // namespace
} // namespace platform_test
