/// @file
/// Calls that must not run twice, while VMs lose the log, crash, or lose the
/// responses to appends.

#include "model/claim_fleet.hpp"

#include <set>

#include <gtest/gtest.h>

namespace model {
namespace {

constexpr std::size_t VmCount = 4;
constexpr std::uint64_t SeedCount = 200;
constexpr std::uint64_t KeyCount = 40;

/// Baseline without the log: each VM remembers only the calls that it started
/// itself.
class LocalMemory {
public:
  std::vector<ClaimDecision> request(Instant, const LedgerState &,
                                     std::uint64_t Ticket,
                                     const RequestId &Key) {
    if (!Started.insert(Key).second) {
      return {ClaimInDoubt{Ticket}};
    }
    return {ClaimGranted{Ticket}};
  }
  std::vector<ClaimDecision> poll(Instant, const LedgerState &) { return {}; }
  void end(const Outcome &) {}
  void release(const RequestId &Key) { Started.erase(Key); }

private:
  std::set<RequestId> Started;
};

/// Attempts the same few calls through all VMs while faults are injected.
template <typename Arbiter>
std::map<RequestId, CallStats>
runWithFaults(std::uint64_t Seed,
              typename ClaimFleet<Arbiter>::ArbiterFactory MakeArbiter) {
  ClaimFleet<Arbiter> Fleet{VmCount, Seed, std::move(MakeArbiter)};
  const auto RandomBelow = [&](std::uint64_t Limit) {
    return Fleet.random()() % Limit;
  };
  std::function<void()> SendAttempt = [&] {
    Fleet.attempt(RandomBelow(VmCount),
                  RequestId{"order" + std::to_string(RandomBelow(KeyCount))});
    Fleet.time().after(Millis{static_cast<std::int64_t>(RandomBelow(200)) + 1},
                       SendAttempt);
  };
  std::function<void()> InjectFault = [&] {
    const auto VmIndex = RandomBelow(VmCount);
    if (RandomBelow(3) == 0) {
      Fleet.log().cut(VmIndex, !Fleet.log().at(VmIndex).Disconnected);
    } else if (RandomBelow(2) == 0) {
      Fleet.log().loseResponses(2);
    } else if (Fleet.log().at(VmIndex).Alive) {
      Fleet.crash(VmIndex,
                  Millis{static_cast<std::int64_t>(RandomBelow(2'000))});
    }
    Fleet.time().after(Millis{static_cast<std::int64_t>(RandomBelow(3'000))},
                       InjectFault);
  };
  SendAttempt();
  InjectFault();
  Fleet.time().run(Instant{} + std::chrono::minutes{1});
  return Fleet.calls();
}

TEST(ClaimFleet, NoCallRunsTwice) {
  std::uint64_t Runs = 0;
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    SCOPED_TRACE(Seed);
    const auto Calls = runWithFaults<ClaimArbiter>(Seed, [](Outbox &Out) {
      return std::make_unique<ClaimArbiter>(Out, Millis{1'500});
    });
    for (const auto &[Key, Stats] : Calls) {
      EXPECT_LE(Stats.Runs, 1) << Key.str();
      Runs += static_cast<std::uint64_t>(Stats.Runs);
    }
  }
  EXPECT_GT(Runs, SeedCount);
}

TEST(ClaimFleet, CallSaidNotRunEachTimeNeverRan) {
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    SCOPED_TRACE(Seed);
    const auto Calls = runWithFaults<ClaimArbiter>(Seed, [](Outbox &Out) {
      return std::make_unique<ClaimArbiter>(Out, Millis{1'500});
    });
    for (const auto &[Key, Stats] : Calls) {
      if (Stats.ReportedNotRun == Stats.Attempts) {
        EXPECT_EQ(Stats.Runs, 0) << Key.str();
      }
      if (Stats.Replayed > 0) {
        EXPECT_EQ(Stats.Runs, 1) << Key.str();
      }
    }
  }
}

TEST(ClaimFleet, LocalMemoryRunsCallsTwiceInTheSameStorm) {
  const auto Calls = runWithFaults<LocalMemory>(
      1, [](Outbox &) { return std::make_unique<LocalMemory>(); });
  int RepeatedCalls = 0;
  for (const auto &[Key, Stats] : Calls) {
    RepeatedCalls += Stats.Runs > 1 ? 1 : 0;
  }
  EXPECT_GT(RepeatedCalls, 0);
}

} // namespace
} // namespace model
