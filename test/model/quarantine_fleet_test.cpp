/// @file
/// A fleet in virtual time that serves requests that crash their targets, or
/// prompts with a part that does, among sound prompts. VMs exchange notices
/// with delay and loss.

#include "goldcrestnotch/quarantine/crash_quarantine.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <random>

#include <gtest/gtest.h>

namespace goldcrestnotch::quarantine {
namespace {

constexpr Instant Start{Millis{1'000'000}};
/// Time from the arrival of a request to the beginning of its response.
constexpr Millis TimeToAnswer{150};
constexpr Millis SoundInterval{10};
constexpr Millis CrashingInterval{250};
/// Maximum delay of a notice, and the delays of its repeats.
constexpr int MaxNoticeDelayMs = 20;
constexpr Millis RepeatDelays[] = {Millis{0}, Millis{250}, Millis{500}};
constexpr double LostNotices = 0.1;
/// Time until a target that has crashed is back.
constexpr Millis DownTime{2'500};
/// Sound prompts that wait at a target when it crashes.
constexpr std::uint64_t PromptsThatWait = 4;
/// Time after the fifth crash in which all VMs must know the part.
constexpr Millis ReactionTime{3'000};
constexpr std::size_t CrashesUntilKnown = 5;
constexpr std::size_t MaxCrashesAfter = 3;

using Parts = std::vector<CrashSuspect>;
const Parts CrashingPrompt{{1}, {2}, {3}};
/// A request without a prompt.
const Parts CrashingRequest{{4}};
/// Crashes by which the VMs must know a request.
constexpr std::size_t CrashesUntilRequestKnown = 3;

class FleetModel {
public:
  explicit FleetModel(std::size_t VmCount) : Vms(VmCount) {}

  /// @brief Sends sound and crashing prompts to random VMs.
  void run(Millis Duration) {
    const auto End = Now + Duration;
    schedule(SoundInterval, [this] { sendSound(); });
    schedule(CrashingInterval, [this] { sendCrashing(2); });
    while (!Events.empty() && Events.begin()->first < End) {
      auto Event = Events.extract(Events.begin());
      Now = Event.key();
      Event.mapped()();
    }
    Events.clear();
    Now = End;
  }
  /// @brief Replaces VMs by new ones, which read the records of another VM.
  void restart(std::size_t Count) {
    const auto Known = Vms.back().quarantined(Now);
    for (std::size_t I = 0; I < Count; ++I) {
      Vms[I] = {};
      for (const auto &Part : Known) {
        Vms[I].adopt(Now, Part);
      }
    }
  }
  /// @brief Crashes targets, one after the other, while they begin to answer
  /// sound prompts.
  void crashTargets(std::size_t Count, Millis Interval,
                    CrashEvidence Evidence = CrashEvidence::Strong) {
    for (std::size_t I = 0; I < Count; ++I) {
      schedule(Interval * static_cast<std::int64_t>(I), [this, I, Evidence] {
        reportCrash(drawVm(), {{1}, {2}, {100 + I}}, Evidence);
      });
    }
  }

  [[nodiscard]] std::size_t
  lateCrashes(std::size_t UntilKnown = CrashesUntilKnown) const {
    if (Crashes.size() < UntilKnown) {
      return 0;
    }
    const auto Known = Crashes[UntilKnown - 1] + ReactionTime;
    return static_cast<std::size_t>(
        std::count_if(Crashes.begin(), Crashes.end(),
                      [&](Instant When) { return When > Known; }));
  }
  [[nodiscard]] double soundShare() const {
    return 1 - static_cast<double>(SoundRefused) / static_cast<double>(Sound);
  }

private:
  void schedule(Millis Delay, std::function<void()> Event) {
    Events.emplace(Now + Delay, std::move(Event));
  }
  [[nodiscard]] std::size_t drawVm() {
    return std::uniform_int_distribution<std::size_t>{0,
                                                      Vms.size() - 1}(Random);
  }
  /// @brief Lets all VMs but one take a notice, each with a delay of its own.
  void broadcast(std::size_t From,
                 const std::function<void(CrashQuarantine &)> &Take) {
    for (std::size_t To = 0; To < Vms.size(); ++To) {
      std::bernoulli_distribution Lost{LostNotices};
      for (const auto Repeat : RepeatDelays) {
        if (To != From && !Lost(Random)) {
          const Millis Delay{
              std::uniform_int_distribution<int>{1, MaxNoticeDelayMs}(Random)};
          schedule(Repeat + Delay, [this, To, Take] { Take(Vms[To]); });
          break; // Later repeats are recognized by their receiver.
        }
      }
    }
  }
  void reportCrash(std::size_t Vm, const Parts &Prompt,
                   CrashEvidence Evidence = CrashEvidence::Strong) {
    report(Vm, {++LastTarget, 1}, Now, Prompt, Evidence);
  }
  void report(std::size_t Vm, TargetRun Ended, Instant When,
              const Parts &Prompt, CrashEvidence Evidence) {
    (void)Vms[Vm].observeCrash(Now, When, Ended, Prompt, Evidence);
    // Notices state their age.
    broadcast(Vm, [=, this](CrashQuarantine &Quarantine) {
      (void)Quarantine.observeCrash(Now, When, Ended, Prompt, Evidence);
    });
  }
  /// @brief Reports the crashing prompt, and sound ones that waited at the same
  /// target, once the target is back.
  void reportSilentCrash(std::size_t Vm) {
    const TargetRun Ended{++LastTarget, 1};
    const auto When = Now;
    schedule(DownTime, [this, Vm, Ended, When] {
      report(Vm, Ended, When, CrashingPrompt, CrashEvidence::Weak);
      for (std::uint64_t I = 0; I < PromptsThatWait; ++I) {
        report(drawVm(), Ended, When, {{1}, {2}, {100 + (LastTarget + I) % 50}},
               CrashEvidence::Weak);
      }
    });
  }
  void sendSound() {
    schedule(SoundInterval, [this] { sendSound(); });
    const auto Vm = drawVm();
    const Parts Prompt{{1}, {2}, {100 + ++Sound % 50}};
    if (Vms[Vm].judge(Now, Prompt) == Verdict::Refused) {
      ++SoundRefused;
      return;
    }
    schedule(TimeToAnswer, [this, Vm, Prompt] {
      const auto Cleared = Vms[Vm].observeAnswer(Now, Prompt);
      if (!Cleared.empty()) {
        broadcast(Vm, [this, Cleared](CrashQuarantine &Quarantine) {
          (void)Quarantine.observeAnswer(Now, Cleared);
        });
      }
    });
  }
  void sendCrashing(int AttemptsLeft) {
    schedule(CrashingInterval, [this] { sendCrashing(2); });
    attemptCrashing(drawVm(), AttemptsLeft);
  }
  void attemptCrashing(std::size_t Vm, int AttemptsLeft) {
    if (Vms[Vm].judge(Now, Crashing) == Verdict::Refused) {
      return;
    }
    schedule(TimeToAnswer, [this, Vm, AttemptsLeft] {
      Crashes.push_back(Now);
      if (SilentCrashes) {
        reportSilentCrash(Vm);
        return; // The caller waits for the response until it leaves.
      }
      reportCrash(Vm, Crashing);
      if (AttemptsLeft > 1 && Vms[Vm].judge(Now, Crashing) == Verdict::Sound) {
        attemptCrashing(Vm, AttemptsLeft - 1);
      }
    });
  }

public:
  /// Targets crash without a response, and their connections stay open.
  bool SilentCrashes = false;
  /// The suspects of what crashes targets.
  Parts Crashing = CrashingPrompt;

private:
  std::vector<CrashQuarantine> Vms;
  std::multimap<Instant, std::function<void()>> Events;
  std::mt19937_64 Random{11};
  Instant Now = Start;
  std::vector<Instant> Crashes;
  std::uint64_t LastTarget = 0;
  std::uint64_t Sound = 0;
  std::uint64_t SoundRefused = 0;
};

class QuarantineFleet : public testing::TestWithParam<std::size_t> {};

TEST_P(QuarantineFleet, FewTargetsCrashAndSoundPromptsAreServed) {
  FleetModel Fleet{GetParam()};
  Fleet.run(Millis{60'000});
  EXPECT_LE(Fleet.lateCrashes(), MaxCrashesAfter);
  EXPECT_GE(Fleet.soundShare(), 0.99);
}

TEST_P(QuarantineFleet, FewTargetsCrashSilentlyAndSoundPromptsAreServed) {
  FleetModel Fleet{GetParam()};
  Fleet.SilentCrashes = true;
  Fleet.run(Millis{60'000});
  EXPECT_LE(Fleet.lateCrashes(), MaxCrashesAfter);
  EXPECT_GE(Fleet.soundShare(), 0.99);
}

TEST_P(QuarantineFleet, FewTargetsCrashUnderARequestThatComesAgain) {
  FleetModel Fleet{GetParam()};
  Fleet.Crashing = CrashingRequest;
  Fleet.run(Millis{60'000});
  EXPECT_LE(Fleet.lateCrashes(CrashesUntilRequestKnown), MaxCrashesAfter);
  EXPECT_EQ(Fleet.soundShare(), 1);
}

TEST_P(QuarantineFleet, PromptsThatWaitAtCrashedTargetsAreServed) {
  FleetModel Fleet{GetParam()};
  Fleet.run(Millis{10'000});
  Fleet.crashTargets(60, Millis{120}, CrashEvidence::Weak);
  Fleet.run(Millis{20'000});
  EXPECT_GE(Fleet.soundShare(), 0.99);
}

TEST_P(QuarantineFleet, RestartedVmsKnowThePart) {
  FleetModel Fleet{GetParam()};
  Fleet.run(Millis{10'000});
  Fleet.restart(GetParam() * 2 / 3);
  Fleet.run(Millis{30'000});
  EXPECT_LE(Fleet.lateCrashes(), MaxCrashesAfter);
  EXPECT_GE(Fleet.soundShare(), 0.99);
}

TEST_P(QuarantineFleet, RackThatFailsQuarantinesNothingForLong) {
  FleetModel Fleet{GetParam()};
  Fleet.run(Millis{10'000});
  Fleet.crashTargets(30, Millis{1});
  Fleet.run(Millis{20'000});
  EXPECT_GE(Fleet.soundShare(), 0.99);
}

TEST_P(QuarantineFleet, TargetsThatCrashInTurnQuarantineNothingForLong) {
  FleetModel Fleet{GetParam()};
  Fleet.run(Millis{10'000});
  Fleet.crashTargets(30, Millis{120});
  Fleet.run(Millis{20'000});
  EXPECT_GE(Fleet.soundShare(), 0.99);
}

INSTANTIATE_TEST_SUITE_P(Sizes, QuarantineFleet, testing::Values(9, 300));

} // namespace
} // namespace goldcrestnotch::quarantine
