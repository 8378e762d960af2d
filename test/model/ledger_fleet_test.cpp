/// @file
/// Budgets under disconnections, outages, crashes and lost responses, over many
/// seeds.

#include "model/ledger_fleet.hpp"

#include <gtest/gtest.h>

namespace model {
namespace {

constexpr std::size_t VmCount = 5;
constexpr std::int64_t Bound = 300;
constexpr std::uint64_t SeedCount = 60;
const PoolId Stall{"budget/stall"};

/// Baseline without grants: each VM counts the budget by itself, from the bills
/// that it has read.
class LocalCounter {
public:
  explicit LocalCounter(Outbox &Out) : Out{Out} {}

  std::vector<Decision> request(Instant, const LedgerState &Source,
                                std::uint64_t Ticket, const PoolId &Name,
                                Tokens Requested) {
    const auto *Pool = Source.find(Name);
    const auto Remaining =
        Pool == nullptr ? Tokens{}
                        : Pool->Total - Pool->Billed - Reserved - UsedLocally;
    if (Remaining < Requested) {
      return {Refused{Ticket, RefusalCause::Exhausted}};
    }
    Reserved += Requested;
    return {Admitted{Ticket}};
  }
  void settle(Instant, const PoolId &, Tokens Requested, Tokens Spent,
              const RequestId &, bool) {
    Reserved -= Requested;
    UsedLocally += Spent;
  }
  std::vector<Decision> poll(Instant, const LedgerState &Source) {
    Out.acknowledge(Source.sequence(Out.self()));
    return {};
  }

private:
  Outbox &Out;
  Tokens Reserved;
  Tokens UsedLocally;
};

/// Random requests and faults; several faults may be active at the same time.
template <typename Holder> class FaultyRun {
public:
  FaultyRun(std::uint64_t Seed,
            typename LedgerFleet<Holder>::HolderFactory MakeHolder)
      : Fleet{VmCount, Seed, std::move(MakeHolder)} {
    Fleet.topUp(Stall, Tokens{20'000});
    scheduleRequest();
    scheduleFault();
    Fleet.time().after(std::chrono::minutes{2},
                       [this] { Fleet.topUp(Stall, Tokens{10'000}); });
  }

  void run() { Fleet.time().run(Instant{} + std::chrono::minutes{5}); }

  LedgerFleet<Holder> Fleet;

private:
  std::uint64_t randomBelow(std::uint64_t Limit) {
    return Fleet.random()() % Limit;
  }

  void scheduleRequest() {
    Fleet.time().after(
        Millis{1 + static_cast<std::int64_t>(randomBelow(400))}, [this] {
          const auto Used = static_cast<std::int64_t>(randomBelow(Bound)) + 1;
          Fleet.request(randomBelow(VmCount), Stall, Tokens{Bound},
                        Tokens{Used}, Millis{Used * 10});
          scheduleRequest();
        });
  }

  void scheduleFault() {
    Fleet.time().after(
        Millis{static_cast<std::int64_t>(randomBelow(8'000))}, [this] {
          const auto VmIndex = randomBelow(VmCount);
          switch (randomBelow(4)) {
          case 0:
            Fleet.log().cut(VmIndex, !Fleet.log().at(VmIndex).Disconnected);
            break;
          case 1:
            if (Fleet.log().at(VmIndex).Alive) {
              Fleet.crash(VmIndex, Millis{static_cast<std::int64_t>(
                                       randomBelow(3'000))});
            }
            break;
          case 2:
            Fleet.log().loseResponses(3);
            break;
          default:
            Fleet.outage(randomBelow(3) == 0);
            break;
          }
          scheduleFault();
        });
  }
};

void expectConsistent(const LedgerState &Source) {
  for (const auto &[Name, Pool] : Source.pools()) {
    EXPECT_GE(Pool.free(), Tokens{0});
    EXPECT_GE(Pool.remaining(), Tokens{0});
  }
  EXPECT_EQ(Source.counters().Refused, 0U);
}

TEST(LedgerFleet, EscrowNeverOverspends) {
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    SCOPED_TRACE(Seed);
    FaultyRun<GrantHolder<>> Run{
        Seed, [](Outbox &Out) { return std::make_unique<GrantHolder<>>(Out); }};
    Run.run();
    EXPECT_EQ(Run.Fleet.overspend(), Tokens{0});
    EXPECT_GT(Run.Fleet.tally().Admitted, 0U);
    expectConsistent(Run.Fleet.log().state());
  }
}

TEST(LedgerFleet, LocalCountersOverspendInTheSameStorm) {
  FaultyRun<LocalCounter> Run{
      1, [](Outbox &Out) { return std::make_unique<LocalCounter>(Out); }};
  Run.run();
  EXPECT_GT(Run.Fleet.overspend(), Tokens{0});
}

} // namespace
} // namespace model
