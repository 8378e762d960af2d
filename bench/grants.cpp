/// @file
/// Compares ways of sizing grants on the same arrivals and faults, in virtual
/// time: `bench_grants [SEEDS]`. Prints a table of false refusals, overspend
/// and what a crash leaves in doubt.

#include <array>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <string>
#include <vector>

#include "model/ledger_fleet.hpp"

namespace {

using namespace model;

constexpr std::size_t VmCount = 8;
constexpr std::size_t PoolCount = 10;
constexpr std::int64_t PromptTokens = 60;
constexpr std::int64_t MostTokens = 256;

/// One way the budgets are used, and one fault.
struct Setting {
  const char *Name;
  double PerSecond;   ///< Requests a second, all workspaces together.
  double BudgetHours; ///< How long each budget lasts at that rate.
  Millis Length;      ///< Of the run.
  double Spread;      ///< Share of requests not sent to the home VM.
  enum class Fault { None, RegionCut, Outage, Crashes, LostAnswers } What;
};

struct Result {
  Tally Counts;
  Tokens Overspent;
  double DoubtShare = 0; ///< Largest part of a budget in doubt at once.
  Millis DoubtTime{0};   ///< Longest that something stayed in doubt.
};

PoolId poolOf(std::size_t I) { return PoolId{"budget/w" + std::to_string(I)}; }

/// A few large workspaces, the others small.
double weightOf(std::size_t I) { return I < 2 ? 0.3 : 0.4 / (PoolCount - 2); }

template <typename Sizing> class Run {
public:
  Run(const Setting &Given, std::uint64_t Seed, Sizing Size)
      : Given{Given}, Fleet{VmCount, Seed, [Size](Outbox &Out) {
                              return std::make_unique<GrantHolder<Sizing>>(
                                  Out, GrantHolderSettings{}, Size);
                            }} {}

  Result go() {
    constexpr double MeanTokens = PromptTokens + MostTokens / 2.0;
    for (std::size_t I = 0; I < PoolCount; ++I) {
      const double Amount =
          Given.PerSecond * weightOf(I) * MeanTokens * Given.BudgetHours * 3600;
      Budget.push_back(Tokens{static_cast<std::int64_t>(Amount)});
      // Half now, half in the middle, also while a fault lasts.
      Fleet.topUp(poolOf(I), Budget[I] / 2);
      Fleet.time().after(Given.Length / 2,
                         [this, I] { Fleet.topUp(poolOf(I), Budget[I] / 2); });
    }
    arrive();
    watchDoubt();
    plan();
    Fleet.time().run(Instant{} + Given.Length);
    Outcome.Counts = Fleet.tally();
    Outcome.Overspent = Fleet.overspend();
    return Outcome;
  }

private:
  void arrive() {
    std::exponential_distribution<double> Gap{Given.PerSecond / 1000};
    const auto Wait =
        Millis{static_cast<std::int64_t>(Gap(Fleet.random())) + 1};
    Fleet.time().after(Wait, [this] {
      ask();
      arrive();
    });
  }

  void ask() {
    std::uniform_real_distribution<double> Unit;
    double Left = Unit(Fleet.random());
    std::size_t Pool = 0;
    while (Pool + 1 < PoolCount && Left >= weightOf(Pool)) {
      Left -= weightOf(Pool);
      ++Pool;
    }
    const bool Away = Unit(Fleet.random()) < Given.Spread;
    const auto At = Away ? Fleet.random()() % VmCount : Pool % VmCount;
    const auto Answer = static_cast<std::int64_t>(
        Unit(Fleet.random()) * static_cast<double>(MostTokens));
    const Tokens Actual{PromptTokens + Answer};
    Fleet.request(At, poolOf(Pool), Tokens{PromptTokens * 4 + MostTokens},
                  Actual, Millis{20 + Answer * 30});
  }

  void plan() {
    using Fault = Setting::Fault;
    auto &Time = Fleet.time();
    const auto Quarter = Given.Length / 4;
    if (Given.What == Fault::RegionCut) {
      for (std::size_t I = 0; I < VmCount / 3; ++I) {
        Time.after(Quarter, [this, I] { Fleet.log().cut(I, true); });
        Time.after(Quarter + std::chrono::hours{1},
                   [this, I] { Fleet.log().cut(I, false); });
      }
    } else if (Given.What == Fault::Outage) {
      Time.after(Quarter, [this] { Fleet.outage(true); });
      Time.after(Quarter + std::chrono::minutes{10},
                 [this] { Fleet.outage(false); });
    } else if (Given.What == Fault::Crashes) {
      for (std::size_t I = 0; I < VmCount; ++I) {
        Time.after(Given.Length / 10 * static_cast<std::int64_t>(I + 1),
                   [this, I] { Fleet.crash(I, Millis{5'000}); });
      }
    } else if (Given.What == Fault::LostAnswers) {
      for (int I = 1; I < 100; ++I) {
        Time.after(Given.Length / 100 * I,
                   [this] { Fleet.log().loseAnswers(3); });
      }
    }
  }

  void watchDoubt() {
    static constexpr Millis Every{100};
    Fleet.time().after(Every, [this] {
      bool Any = false;
      for (std::size_t I = 0; I < PoolCount; ++I) {
        const auto *Pool = Fleet.log().book().find(poolOf(I));
        Tokens Doubt;
        for (const auto &[Holder, Amount] : Pool->Unsettled) {
          Doubt += Amount;
        }
        Any = Any || Doubt > Tokens{0};
        Outcome.DoubtShare = std::max(
            Outcome.DoubtShare, static_cast<double>(Doubt.count()) /
                                    static_cast<double>(Pool->Total.count()));
      }
      DoubtNow = Any ? DoubtNow + Every : Millis{0};
      Outcome.DoubtTime = std::max(Outcome.DoubtTime, DoubtNow);
      watchDoubt();
    });
  }

  Setting Given;
  LedgerFleet<GrantHolder<Sizing>> Fleet;
  std::vector<Tokens> Budget;
  Millis DoubtNow{0};
  Result Outcome;
};

template <typename Sizing>
std::string row(const Setting &Given, const char *Policy, std::uint64_t Seeds,
                Sizing Size) {
  Result Sum;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const auto One = Run<Sizing>{Given, Seed, Size}.go();
    Sum.Counts.Arrived += One.Counts.Arrived;
    Sum.Counts.Refused += One.Counts.Refused;
    Sum.Counts.FalselyRefused += One.Counts.FalselyRefused;
    Sum.Counts.Appends += One.Counts.Appends;
    Sum.Overspent = std::max(Sum.Overspent, One.Overspent);
    Sum.DoubtShare = std::max(Sum.DoubtShare, One.DoubtShare);
    Sum.DoubtTime = std::max(Sum.DoubtTime, One.DoubtTime);
  }
  const auto Seconds = std::chrono::duration<double>{Given.Length}.count();
  std::array<char, 160> Line{};
  std::snprintf(
      Line.data(), Line.size(),
      "%-14s %-14s %9llu %8llu %8.3f%% %9lld %8.2f%% %7.1f %8.2f\n", Given.Name,
      Policy, static_cast<unsigned long long>(Sum.Counts.Arrived),
      static_cast<unsigned long long>(Sum.Counts.Refused),
      100.0 * static_cast<double>(Sum.Counts.FalselyRefused) /
          static_cast<double>(Sum.Counts.Arrived),
      static_cast<long long>(Sum.Overspent.count()), 100 * Sum.DoubtShare,
      std::chrono::duration<double>{Sum.DoubtTime}.count(),
      static_cast<double>(Sum.Counts.Appends) / Seconds /
          static_cast<double>(Seeds));
  return Line.data();
}

} // namespace

int main(int Count, char **Words) {
  using Fault = Setting::Fault;
  const std::uint64_t Seeds =
      Count > 1 ? std::strtoull(Words[1], nullptr, 10) : 3;
  const Millis Hour = std::chrono::hours{1};
  const std::vector<Setting> Settings{
      {"emptying", 4, 0.4, Hour / 2, 0.3, Fault::None},
      {"spread", 4, 0.4, Hour / 2, 1.0, Fault::None},
      {"steady", 4, 24, Hour, 0.3, Fault::None},
      {"hour's cut", 4, 72, Hour * 4, 0.3, Fault::RegionCut},
      {"outage 10 min", 4, 24, Hour, 0.3, Fault::Outage},
      {"crashes", 4, 24, Hour, 0.3, Fault::Crashes},
      {"lost answers", 4, 24, Hour, 0.3, Fault::LostAnswers},
  };
  std::printf("%-14s %-14s %9s %8s %9s %9s %9s %7s %8s\n", "setting", "policy",
              "requests", "refused", "falsely", "overspend", "doubt", "for s",
              "append/s");
  std::vector<std::future<std::string>> Rows;
  const auto Begin = [&](const Setting &Given, const char *Policy, auto Size) {
    Rows.push_back(std::async(std::launch::async,
                              [=] { return row(Given, Policy, Seeds, Size); }));
  };
  for (const auto &Given : Settings) {
    Begin(Given, "equal", EqualSizing{});
    Begin(Given, "demand 60 s", DemandSizing{Millis{60'000}, 32});
    Begin(Given, "demand 75 min", DemandSizing{});
  }
  for (auto &One : Rows) {
    std::fputs(One.get().c_str(), stdout);
  }
  return 0;
}
