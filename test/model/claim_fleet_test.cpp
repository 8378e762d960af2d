/// @file
/// Calls that may not be repeated, under cuts, crashes and lost answers.

#include "model/claim_fleet.hpp"

#include <set>

#include <gtest/gtest.h>

namespace model {
namespace {

constexpr std::size_t VmCount = 4;
constexpr std::uint64_t SeedCount = 200;
constexpr std::uint64_t KeyCount = 40;

/// The naive way: each VM remembers the calls it has run.
class LocalMemory {
public:
  std::vector<ClaimDecision> request(Instant, const LedgerState &,
                                     std::uint64_t Ticket,
                                     const RequestId &Key) {
    if (!Run.insert(Key).second) {
      return {ClaimInDoubt{Ticket}};
    }
    return {ClaimGranted{Ticket}};
  }
  std::vector<ClaimDecision> poll(Instant, const LedgerState &) { return {}; }
  void end(const Outcome &) {}
  void release(const RequestId &Key) { Run.erase(Key); }

private:
  std::set<RequestId> Run;
};

/// Callers that try the same few calls through all VMs while faults go on.
template <typename Keeper>
std::map<RequestId, CallRecord> storm(std::uint64_t Seed,
                                      typename ClaimFleet<Keeper>::Maker Make) {
  ClaimFleet<Keeper> Fleet{VmCount, Seed, std::move(Make)};
  const auto Dice = [&](std::uint64_t Sides) {
    return Fleet.random()() % Sides;
  };
  std::function<void()> Work = [&] {
    Fleet.attempt(Dice(VmCount),
                  RequestId{"order" + std::to_string(Dice(KeyCount))});
    Fleet.time().after(Millis{static_cast<std::int64_t>(Dice(200)) + 1}, Work);
  };
  std::function<void()> Fault = [&] {
    const auto At = Dice(VmCount);
    if (Dice(3) == 0) {
      Fleet.log().cut(At, !Fleet.log().at(At).Cut);
    } else if (Dice(2) == 0) {
      Fleet.log().loseAnswers(2);
    } else if (Fleet.log().at(At).Alive) {
      Fleet.crash(At, Millis{static_cast<std::int64_t>(Dice(2'000))});
    }
    Fleet.time().after(Millis{static_cast<std::int64_t>(Dice(3'000))}, Fault);
  };
  Work();
  Fault();
  Fleet.time().run(Instant{} + std::chrono::minutes{1});
  return Fleet.calls();
}

TEST(ClaimFleet, NoCallRunsTwice) {
  std::uint64_t Runs = 0;
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    SCOPED_TRACE(Seed);
    const auto Calls = storm<ClaimArbiter>(Seed, [](Outbox &Out) {
      return std::make_unique<ClaimArbiter>(Out, Millis{1'500});
    });
    for (const auto &[Key, One] : Calls) {
      EXPECT_LE(One.Runs, 1) << Key.str();
      Runs += static_cast<std::uint64_t>(One.Runs);
    }
  }
  EXPECT_GT(Runs, SeedCount);
}

TEST(ClaimFleet, CallSaidNotRunEachTimeNeverRan) {
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    SCOPED_TRACE(Seed);
    const auto Calls = storm<ClaimArbiter>(Seed, [](Outbox &Out) {
      return std::make_unique<ClaimArbiter>(Out, Millis{1'500});
    });
    for (const auto &[Key, One] : Calls) {
      if (One.SaidNotRun == One.Attempts) {
        EXPECT_EQ(One.Runs, 0) << Key.str();
      }
      if (One.Replayed > 0) {
        EXPECT_EQ(One.Runs, 1) << Key.str();
      }
    }
  }
}

TEST(ClaimFleet, LocalMemoryRunsCallsTwiceInTheSameStorm) {
  const auto Calls = storm<LocalMemory>(
      1, [](Outbox &) { return std::make_unique<LocalMemory>(); });
  int Doubled = 0;
  for (const auto &[Key, One] : Calls) {
    Doubled += One.Runs > 1 ? 1 : 0;
  }
  EXPECT_GT(Doubled, 0);
}

} // namespace
} // namespace model
