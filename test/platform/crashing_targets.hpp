/// @file
/// Test fixture of replicas that crash under the requests that a test selects.

#pragma once

#include "fleet.hpp"

#include <algorithm>
#include <mutex>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include <gtest/gtest.h>

namespace platform_test {

/// @brief Daemons and replicas, and the times at which replicas crashed.
class CrashingTargets : public testing::Test {
protected:
  static constexpr int VmCount = 3;
  /// Time after which the VMs must have learned of a cause of crashes.
  static constexpr Millis ReactionTime{3'000};
  static constexpr Millis DownTime{2'000};

  explicit CrashingTargets(int ReplicaCount)
      : TestFleet{ReplicaCount, VmCount} {}

  void SetUp() override {
    for (int Vm = 0; Vm < VmCount; ++Vm) {
      ASSERT_TRUE(TestFleet.waitUntilReady(Vm));
    }
    std::this_thread::sleep_for(Millis{1'500}); // The VMs know each other.
  }
  void recordCrash() {
    const std::lock_guard Lock{Mutex};
    Crashes.push_back(DecisionClock::now());
  }
  /// @brief Makes a replica unreachable for a while; then it is registered
  /// again.
  /// @param Silent Open connections stay open until then.
  /// @param Replaced It comes back with another id.
  void takeDown(int Number, bool Silent, bool Replaced) {
    auto &Link = TestFleet.replicaLink(Number);
    Link.CurrentMode = Silent ? standin::FaultyLink::Mode::Stalled
                              : standin::FaultyLink::Mode::Refuse;
    if (!Silent) {
      Link.reset();
    }
    boost::asio::spawn(
        TestFleet.Context,
        [this, Number, Replaced](boost::asio::yield_context Yield) {
          boost::asio::steady_timer Down{TestFleet.Context, DownTime};
          Down.async_wait(Yield);
          bringBack(Number, Replaced);
        });
  }
  /// @brief Number of crashes later than the reaction time after the one by
  /// which the cause can be known.
  [[nodiscard]] std::size_t lateCrashes(std::size_t CrashesUntilKnown) {
    const std::lock_guard Lock{Mutex};
    if (Crashes.size() < CrashesUntilKnown) {
      return 0;
    }
    const auto Known = Crashes[CrashesUntilKnown - 1] + ReactionTime;
    return static_cast<std::size_t>(
        std::count_if(Crashes.begin(), Crashes.end(),
                      [&](Instant When) { return When > Known; }));
  }
  [[nodiscard]] std::size_t crashCount() {
    const std::lock_guard Lock{Mutex};
    return Crashes.size();
  }

  Fleet TestFleet;

private:
  void bringBack(int Number, bool Replaced) {
    auto &Replica = TestFleet.replica(Number);
    if (Replaced) {
      TestFleet.Store.put("keyed.servers", Replica.name(), std::nullopt);
      Replica.replace();
    }
    auto &Link = TestFleet.replicaLink(Number);
    Link.reset();
    Link.CurrentMode = standin::FaultyLink::Mode::Pass;
    TestFleet.registerReplica(Replica, "ready");
  }

  std::mutex Mutex;
  std::vector<Instant> Crashes; ///< Guarded by `Mutex`.
};

} // namespace platform_test
