/// @file
/// Budgets under cuts, outages, crashes and lost answers, over many seeds.

#include "model/ledger_fleet.hpp"

#include <gtest/gtest.h>

namespace model {
namespace {

constexpr std::size_t VmCount = 5;
constexpr std::int64_t Bound = 300;
constexpr std::uint64_t SeedCount = 60;
const PoolId Stall{"budget/stall"};

/// The naive way: each VM counts the budget by itself, from the bills it sees.
class LocalCounter {
public:
  explicit LocalCounter(Outbox &Out) : Out{Out} {}

  std::vector<Decision> request(Instant, const LedgerState &Source,
                                std::uint64_t Ticket, const PoolId &Name,
                                Tokens Wanted) {
    const auto *Found = Source.find(Name);
    const auto Left = Found == nullptr
                          ? Tokens{}
                          : Found->Total - Found->Billed - Reserved - Unseen;
    if (Left < Wanted) {
      return {Refused{Ticket, RefusalCause::Exhausted}};
    }
    Reserved += Wanted;
    return {Admitted{Ticket}};
  }
  void settle(Instant, const PoolId &, Tokens Wanted, Tokens Spent,
              const RequestId &, bool) {
    Reserved -= Wanted;
    Unseen += Spent;
  }
  std::vector<Decision> poll(Instant, const LedgerState &Source) {
    Out.acknowledge(Source.sequence(Out.self()));
    return {};
  }

private:
  Outbox &Out;
  Tokens Reserved;
  Tokens Unseen;
};

/// Random work and faults; two or more faults may hold at once.
template <typename Desk> class Storm {
public:
  Storm(std::uint64_t Seed, typename LedgerFleet<Desk>::Maker Make)
      : Fleet{VmCount, Seed, std::move(Make)} {
    Fleet.topUp(Stall, Tokens{20'000});
    work();
    fault();
    Fleet.time().after(std::chrono::minutes{2},
                       [this] { Fleet.topUp(Stall, Tokens{10'000}); });
  }

  void run() { Fleet.time().run(Instant{} + std::chrono::minutes{5}); }

  LedgerFleet<Desk> Fleet;

private:
  std::uint64_t dice(std::uint64_t Sides) { return Fleet.random()() % Sides; }

  void work() {
    Fleet.time().after(
        Millis{1 + static_cast<std::int64_t>(dice(400))}, [this] {
          const auto Used = static_cast<std::int64_t>(dice(Bound)) + 1;
          Fleet.request(dice(VmCount), Stall, Tokens{Bound}, Tokens{Used},
                        Millis{Used * 10});
          work();
        });
  }

  void fault() {
    Fleet.time().after(Millis{static_cast<std::int64_t>(dice(8'000))}, [this] {
      const auto At = dice(VmCount);
      switch (dice(4)) {
      case 0:
        Fleet.log().cut(At, !Fleet.log().at(At).Cut);
        break;
      case 1:
        if (Fleet.log().at(At).Alive) {
          Fleet.crash(At, Millis{static_cast<std::int64_t>(dice(3'000))});
        }
        break;
      case 2:
        Fleet.log().loseAnswers(3);
        break;
      default:
        Fleet.outage(dice(3) == 0);
        break;
      }
      fault();
    });
  }
};

void expectSound(const LedgerState &Source) {
  for (const auto &[Name, At] : Source.pools()) {
    EXPECT_GE(At.free(), Tokens{0});
    EXPECT_GE(At.remaining(), Tokens{0});
  }
  EXPECT_EQ(Source.counters().Refused, 0U);
}

TEST(LedgerFleet, EscrowNeverOverspends) {
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    SCOPED_TRACE(Seed);
    Storm<GrantHolder<>> Weather{
        Seed, [](Outbox &Out) { return std::make_unique<GrantHolder<>>(Out); }};
    Weather.run();
    EXPECT_EQ(Weather.Fleet.overspend(), Tokens{0});
    EXPECT_GT(Weather.Fleet.tally().Admitted, 0U);
    expectSound(Weather.Fleet.log().book());
  }
}

TEST(LedgerFleet, LocalCountersOverspendInTheSameStorm) {
  Storm<LocalCounter> Weather{
      1, [](Outbox &Out) { return std::make_unique<LocalCounter>(Out); }};
  Weather.run();
  EXPECT_GT(Weather.Fleet.overspend(), Tokens{0});
}

} // namespace
} // namespace model
