/// @file
/// End-to-end tests of prompts that crash each target that begins to answer
/// them.

#include "fleet.hpp"

#include <atomic>
#include <mutex>

#include <gtest/gtest.h>

namespace platform_test {
namespace {

constexpr int VmCount = 3;
constexpr int ReplicaCount = 6;
constexpr const char *SharedPart = "a0:50";
constexpr const char *CrashingPart = "bad1:30";
constexpr const char *SoundPart = "c0de:30";
/// Time after the fifth crash in which the VMs must have learned of the part.
constexpr Millis ReactionTime{3'000};
constexpr std::size_t CrashesUntilKnown = 5;
constexpr std::size_t MaxCrashesAfter = 3;

class PlatformCrashingPrompt : public testing::Test {
protected:
  void SetUp() override {
    for (int Vm = 0; Vm < VmCount; ++Vm) {
      ASSERT_TRUE(TestFleet.waitUntilReady(Vm));
    }
    std::this_thread::sleep_for(Millis{1'500}); // The VMs know each other.
    for (int I = 0; I < ReplicaCount; ++I) {
      TestFleet.replica(I).CrashingPart = CrashingPart;
      TestFleet.replica(I).OnCrash = [this, I](UsersReplica &Replica) {
        {
          const std::lock_guard Lock{Mutex};
          Crashes.push_back(DecisionClock::now());
        }
        TestFleet.replicaLink(I).reset();
        TestFleet.registerReplica(Replica, "ready");
      };
    }
  }
  /// @brief Sends a chat with a shared part, another one and one of its own.
  [[nodiscard]] CallResult chat(const char *Part, int Vm) {
    const auto Id = std::to_string(++Number);
    Call Chat{"/chat/1", "key-1", "a" + Id, "100,60"};
    Chat.PromptParts = std::string{SharedPart} + "," + Part + ",d" + Id + ":20";
    return TestFleet.call(Chat, Vm);
  }
  /// @brief Sends crashing and sound chats by turns to all VMs.
  /// @return The share of sound chats that was served.
  double sendChats(Millis Duration) {
    int Sound = 0;
    int Served = 0;
    const auto End = DecisionClock::now() + Duration;
    for (int Vm = 0; DecisionClock::now() < End; Vm = (Vm + 1) % VmCount) {
      (void)chat(CrashingPart, Vm);
      for (int I = 0; I < 2; ++I) {
        ++Sound;
        Served += chat(SoundPart, (Vm + I) % VmCount).Status == 200 ? 1 : 0;
      }
      std::this_thread::sleep_for(Millis{40});
    }
    return static_cast<double>(Served) / Sound;
  }
  /// @brief Number of crashes later than the reaction time after the fifth one.
  [[nodiscard]] std::size_t lateCrashes() {
    const std::lock_guard Lock{Mutex};
    if (Crashes.size() < CrashesUntilKnown) {
      return 0;
    }
    const auto Known = Crashes[CrashesUntilKnown - 1] + ReactionTime;
    return static_cast<std::size_t>(
        std::count_if(Crashes.begin(), Crashes.end(),
                      [&](Instant When) { return When > Known; }));
  }

  Fleet TestFleet{ReplicaCount, VmCount};
  std::mutex Mutex;
  std::vector<Instant> Crashes; ///< Guarded by `Mutex`.
  int Number = 0;
};

TEST_F(PlatformCrashingPrompt, NoMoreTargetsCrashOnceThePartIsKnown) {
  const auto Served = sendChats(Millis{10'000});
  EXPECT_LE(lateCrashes(), MaxCrashesAfter);
  EXPECT_GE(Served, 0.9);
}

TEST_F(PlatformCrashingPrompt, VmThatStartsLaterLearnsThePart) {
  (void)sendChats(Millis{5'000});
  TestFleet.start(1);
  ASSERT_TRUE(TestFleet.waitUntilReady(1));
  const auto Served = sendChats(Millis{5'000});
  EXPECT_LE(lateCrashes(), MaxCrashesAfter);
  EXPECT_GE(Served, 0.9);
}

} // namespace
} // namespace platform_test
