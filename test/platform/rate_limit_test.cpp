/// @file
/// End-to-end tests of targets that state how many requests a second they take
/// from all VMs together.

#include "fleet.hpp"

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>

#include <gtest/gtest.h>

namespace platform_test {
namespace {

constexpr int VmCount = 3;
/// Time after which all VMs must keep to a limit that a target has stated.
constexpr Millis ReactionTime{3'000};
constexpr Millis Window{4'000};

/// @brief Number of requests that a target may get within `Window`.
std::size_t allowedArrivals(double Rate) {
  return static_cast<std::size_t>(
      1.5 * Rate * static_cast<double>(Window.count()) / 1'000 + 5);
}

/// @brief Sends orders to each VM for some time, one after the other.
void sendOrders(Fleet &TestFleet, Millis Duration, Millis Pause,
                const std::function<void(const CallResult &)> &OnResult) {
  std::vector<std::thread> Callers;
  Callers.reserve(VmCount);
  for (int Vm = 0; Vm < VmCount; ++Vm) {
    Callers.emplace_back([&, Vm] {
      const auto End = DecisionClock::now() + Duration;
      for (int Number = 0; DecisionClock::now() < End; ++Number) {
        const Call Order{"/order/1", "key-1",
                         "b" + std::to_string(Vm) + "-" +
                             std::to_string(Number)};
        OnResult(TestFleet.call(Order, Vm));
        std::this_thread::sleep_for(Pause);
      }
    });
  }
  for (auto &Caller : Callers) {
    Caller.join();
  }
}

void waitUntilAllAreReady(Fleet &TestFleet) {
  for (int Vm = 0; Vm < VmCount; ++Vm) {
    ASSERT_TRUE(TestFleet.waitUntilReady(Vm));
  }
}

TEST(PlatformRateLimit, TargetGetsNoMoreFromAllVmsThanItStates) {
  constexpr double Rate = 2;
  Fleet TestFleet{2, VmCount};
  ASSERT_NO_FATAL_FAILURE(waitUntilAllAreReady(TestFleet));
  TestFleet.replica(0).RateLimit = Rate;
  std::atomic<int> NotServed{0};
  const auto Begin = DecisionClock::now();
  sendOrders(TestFleet, ReactionTime + Window + Window, Millis{20},
             [&](const CallResult &Result) {
               NotServed += Result.Status == 200 ? 0 : 1;
             });
  EXPECT_LE(TestFleet.replica(0).mostArrivals(Window, Begin + ReactionTime),
            allowedArrivals(Rate));
  EXPECT_EQ(NotServed, 0);
}

TEST(PlatformRateLimit, LoneTargetGetsWhatItStatesAndTheRestIsRefusedAtOnce) {
  constexpr double Rate = 4;
  Fleet TestFleet{1, VmCount};
  ASSERT_NO_FATAL_FAILURE(waitUntilAllAreReady(TestFleet));
  TestFleet.replica(0).RateLimit = Rate;
  const auto Ignore = [](const CallResult &) {};
  const auto Begin = DecisionClock::now();
  sendOrders(TestFleet, ReactionTime, Millis{60}, Ignore);
  std::atomic<int> Served{0};
  std::atomic<int> WronglyRefused{0};
  sendOrders(TestFleet, Window + Window, Millis{60},
             [&](const CallResult &Result) {
               Served += Result.Status == 200 ? 1 : 0;
               const bool Refused = Result.Status == 503 &&
                                    Result.Fields.contains("Retry-After");
               WronglyRefused += Result.Status == 200 || Refused ? 0 : 1;
             });
  EXPECT_LE(TestFleet.replica(0).mostArrivals(Window, Begin + ReactionTime),
            allowedArrivals(Rate));
  constexpr double Seconds =
      static_cast<double>((Window + Window).count()) / 1'000;
  EXPECT_GE(Served, static_cast<int>(0.75 * Rate * Seconds));
  EXPECT_EQ(WronglyRefused, 0);
}

// A field that could not be read ended the limit.
TEST(PlatformRateLimit, LimitHoldsWhileWhatTheTargetStatesCannotBeRead) {
  constexpr double Rate = 2;
  Fleet TestFleet{2, VmCount};
  ASSERT_NO_FATAL_FAILURE(waitUntilAllAreReady(TestFleet));
  TestFleet.replica(0).RateLimit = Rate;
  const auto Ignore = [](const CallResult &) {};
  const auto Begin = DecisionClock::now();
  sendOrders(TestFleet, ReactionTime, Millis{20}, Ignore);
  TestFleet.replica(0).RateLimitIsText = true;
  sendOrders(TestFleet, Window + Window, Millis{20}, Ignore);
  EXPECT_LE(TestFleet.replica(0).mostArrivals(Window, Begin + ReactionTime),
            allowedArrivals(Rate));
}

TEST(PlatformRateLimit, LimitThatIsWithdrawnEndsOnAllVms) {
  Fleet TestFleet{1, VmCount};
  ASSERT_NO_FATAL_FAILURE(waitUntilAllAreReady(TestFleet));
  TestFleet.replica(0).RateLimit = 2;
  const auto Ignore = [](const CallResult &) {};
  sendOrders(TestFleet, ReactionTime, Millis{60}, Ignore);
  TestFleet.replica(0).RateLimit = 0;
  sendOrders(TestFleet, ReactionTime, Millis{60}, Ignore);
  std::atomic<int> NotServed{0};
  sendOrders(TestFleet, Millis{2'000}, Millis{20},
             [&](const CallResult &Result) {
               NotServed += Result.Status == 200 ? 0 : 1;
             });
  EXPECT_EQ(NotServed, 0);
}

} // namespace
} // namespace platform_test
