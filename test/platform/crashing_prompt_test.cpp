/// @file
/// End-to-end tests of prompts that crash each target that begins to answer
/// them.

#include "crashing_targets.hpp"

#include <atomic>
#include <future>
#include <ostream>

namespace platform_test {
namespace {

constexpr int ReplicaCount = 6;
constexpr const char *SharedPart = "a0:50";
constexpr const char *CrashingPart = "bad1:30";
constexpr const char *SoundPart = "c0de:30";
constexpr std::size_t CrashesUntilKnown = 5;
constexpr std::size_t MaxCrashesAfter = 3;

class PlatformCrashingPrompt : public CrashingTargets {
protected:
  PlatformCrashingPrompt() : CrashingTargets{ReplicaCount} {}

  void SetUp() override {
    CrashingTargets::SetUp();
    for (int I = 0; I < ReplicaCount; ++I) {
      TestFleet.replica(I).CrashingPart = CrashingPart;
      TestFleet.replica(I).OnCrash = [this, I](UsersReplica &Replica) {
        recordCrash();
        TestFleet.replicaLink(I).reset();
        TestFleet.registerReplica(Replica, "ready");
      };
    }
  }
  /// @brief Sends a chat with a shared part, another one and one of its own.
  [[nodiscard]] CallResult chat(const char *Part, int Vm,
                                const char *Path = "/chat/1") {
    const auto Id = std::to_string(++Number);
    Call Chat{Path, "key-1", "a" + Id, "100,60"};
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

  std::atomic<int> Number = 0;
};

TEST_F(PlatformCrashingPrompt, NoMoreTargetsCrashOnceThePartIsKnown) {
  const auto Served = sendChats(Millis{10'000});
  EXPECT_LE(lateCrashes(CrashesUntilKnown), MaxCrashesAfter);
  EXPECT_GE(Served, 0.9);
}

TEST_F(PlatformCrashingPrompt, VmThatStartsLaterLearnsThePart) {
  (void)sendChats(Millis{5'000});
  TestFleet.start(1);
  ASSERT_TRUE(TestFleet.waitUntilReady(1));
  const auto Served = sendChats(Millis{5'000});
  EXPECT_LE(lateCrashes(CrashesUntilKnown), MaxCrashesAfter);
  EXPECT_GE(Served, 0.9);
}

// A stream that had run for a while was not resumed while a part that it shares
// with crashing prompts was suspect.
TEST_F(PlatformCrashingPrompt, SoundStreamsGoOnWhileTheirPartsAreSuspect) {
  constexpr std::size_t CrashesUntilSuspect = 2;
  for (int I = 0; I < ReplicaCount; ++I) {
    TestFleet.replica(I).Events = 40;
    TestFleet.replica(I).EventDelayMs = 60;
  }
  std::vector<std::future<CallResult>> Sound;
  Sound.reserve(VmCount);
  for (int Vm = 0; Vm < VmCount; ++Vm) {
    Sound.push_back(std::async(std::launch::async, [this, Vm] {
      return chat(SoundPart, Vm, "/long/1");
    }));
  }
  std::this_thread::sleep_for(
      Millis{900}); // The answers are known to be sound.
  while (crashCount() < CrashesUntilSuspect) {
    (void)chat(CrashingPart, 0, "/once/1");
    std::this_thread::sleep_for(Millis{120});
  }
  for (int I = 0; I < ReplicaCount; ++I) {
    TestFleet.replicaLink(I).reset();
  }
  for (auto &Stream : Sound) {
    EXPECT_TRUE(Stream.get().Complete);
  }
}

/// @brief What callers see of a crash.
struct CrashCase {
  const char *Name;
  UsersReplica::CrashForm Form;
  bool Silent; ///< Open connections stay open until the replica is back.
};

std::ostream &operator<<(std::ostream &Output, const CrashCase &Case) {
  return Output << Case.Name;
}

using Form = UsersReplica::CrashForm;
const CrashCase CrashCases[] = {
    {"EndBeforeHead", Form::EndBeforeHead, false},
    {"EndAfterHead", Form::EndAfterHead, false},
    {"LateEnd", Form::LateEnd, false},
    {"InsideEvent", Form::InsideEvent, false},
    {"AfterEvent", Form::AfterEvent, false},
    {"SilentBeforeHead", Form::SilentBeforeHead, true},
    {"SilentAfterHead", Form::SilentAfterHead, true},
    {"SilentAfterEvent", Form::SilentAfterEvent, true}};

/// @brief Replicas that are down for a while after a crash.
class PlatformCrashForm : public PlatformCrashingPrompt,
                          public testing::WithParamInterface<CrashCase> {
protected:
  void SetUp() override {
    PlatformCrashingPrompt::SetUp();
    for (int I = 0; I < ReplicaCount; ++I) {
      TestFleet.replica(I).FormOfCrash = GetParam().Form;
      TestFleet.replica(I).OnCrash = [this, I](UsersReplica & /*Crashed*/) {
        recordCrash();
        takeDown(I, GetParam().Silent, false);
      };
    }
  }
  /// @brief Sends crashing chats at an interval, and sound ones between them.
  /// @return The share of sound chats that was served in the last part.
  double playChats() {
    std::vector<std::future<CallResult>> Crashing;
    std::vector<std::future<CallResult>> Sound;
    for (int I = 0; I < CrashingChats; ++I) {
      Crashing.push_back(chatLater(CrashingPart, I % VmCount));
      for (int J = 0; J < SoundPerCrashing; ++J) {
        Sound.push_back(chatLater(SoundPart, (I + J) % VmCount));
        std::this_thread::sleep_for(CrashingInterval / SoundPerCrashing);
      }
    }
    for (auto &Chat : Crashing) {
      Chat.wait();
    }
    double Served = 0;
    const auto LastPart = Sound.size() / 3;
    for (std::size_t I = 0; I < Sound.size(); ++I) {
      const auto Answer = Sound[I].get();
      Served += I >= Sound.size() - LastPart && Answer.Status == 200 ? 1 : 0;
    }
    return Served / static_cast<double>(LastPart);
  }

private:
  static constexpr int CrashingChats = 24;
  static constexpr int SoundPerCrashing = 5;
  static constexpr Millis CrashingInterval{500};

  [[nodiscard]] std::future<CallResult> chatLater(const char *Part, int Vm) {
    const auto Id = std::to_string(++Number);
    Call Chat{"/chat/1", "key-1", "f" + Id, "100,60", "3000"};
    Chat.PromptParts = std::string{SharedPart} + "," + Part + ",d" + Id + ":20";
    return std::async(std::launch::async,
                      [this, Chat, Vm] { return TestFleet.call(Chat, Vm); });
  }
};

// Only the end of a connection right after the head counted as a crash.
TEST_P(PlatformCrashForm, FewTargetsCrashAndSoundChatsAreServed) {
  const auto Served = playChats();
  EXPECT_LE(lateCrashes(CrashesUntilKnown), MaxCrashesAfter);
  EXPECT_GE(Served, 0.9);
}

INSTANTIATE_TEST_SUITE_P(Forms, PlatformCrashForm,
                         testing::ValuesIn(CrashCases),
                         [](const auto &Info) { return Info.param.Name; });

// A target that ends under sound prompts is no evidence against them.
TEST_F(PlatformCrashingPrompt, TargetsThatRestartInTurnQuarantineNothing) {
  constexpr int Restarts = 10;
  constexpr Millis Interval{600};
  for (int I = 0; I < ReplicaCount; ++I) {
    TestFleet.replica(I).EventDelayMs = 60;
  }
  std::vector<std::future<CallResult>> Chats;
  for (int I = 0; I < Restarts; ++I) {
    const int Restarting = I % ReplicaCount;
    auto &Link = TestFleet.replicaLink(Restarting);
    Link.CurrentMode = standin::FaultyLink::Mode::Stalled;
    for (int J = 0; J < ReplicaCount; ++J) {
      Chats.push_back(std::async(std::launch::async, [this, I, J] {
        return chat(("f" + std::to_string(J) + ":30").c_str(),
                    (I + J) % VmCount);
      }));
    }
    std::this_thread::sleep_for(Interval);
    Link.reset();
    Link.CurrentMode = standin::FaultyLink::Mode::Pass;
    TestFleet.replica(Restarting).restart();
    TestFleet.registerReplica(TestFleet.replica(Restarting), "ready");
  }
  for (auto &Chat : Chats) {
    Chat.wait();
  }
  for (int Vm = 0; Vm < VmCount; ++Vm) {
    EXPECT_EQ(TestFleet.daemon(Vm).output().find("prompt.quarantined"),
              std::string::npos)
        << TestFleet.daemon(Vm).output();
  }
}

} // namespace
} // namespace platform_test
