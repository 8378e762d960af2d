/// @file
/// Compares policies of grant sizing on the same requests and faults, in
/// virtual time: `bench_grants [SEEDS]`. Prints a table of false refusals,
/// overspending and the tokens that crashes leave in doubt.

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
constexpr std::int64_t MaxAnswerTokens = 256;

/// A workload on the budgets, and the fault injected into it.
struct WorkloadSettings {
  const char *Name;
  double PerSecond;   ///< Requests per second over all workspaces.
  double BudgetHours; ///< How long each budget lasts at that rate.
  Millis Length;      ///< Virtual duration of the run.
  double Spread;      ///< Share of requests sent to a random VM
                      ///< instead of the home VM.
  enum class Fault { None, RegionCut, Outage, Crashes, LostAnswers } FaultKind;
};

struct Result {
  Tally Counts;
  Tokens Overspent;
  double DoubtShare = 0; ///< Largest share of a budget in doubt at a time.
  Millis DoubtTime{0};   ///< Longest time with tokens in doubt.
};

PoolId poolOf(std::size_t I) { return PoolId{"budget/w" + std::to_string(I)}; }

/// Share of the requests of a workspace: two are large, the others small.
double weightOf(std::size_t I) { return I < 2 ? 0.3 : 0.4 / (PoolCount - 2); }

template <typename Sizing> class Run {
public:
  Run(const WorkloadSettings &Workload, std::uint64_t Seed, Sizing Size)
      : Workload{Workload}, Fleet{
                                VmCount, Seed, [Size](Outbox &Out) {
                                  return std::make_unique<GrantHolder<Sizing>>(
                                      Out, GrantHolderSettings{}, Size);
                                }} {}

  Result run() {
    constexpr double MeanTokens = PromptTokens + MaxAnswerTokens / 2.0;
    for (std::size_t I = 0; I < PoolCount; ++I) {
      const double Amount = Workload.PerSecond * weightOf(I) * MeanTokens *
                            Workload.BudgetHours * 3600;
      Budget.push_back(Tokens{static_cast<std::int64_t>(Amount)});
      // Half is topped up at the start and half in the middle of the run, also
      // during a fault.
      Fleet.topUp(poolOf(I), Budget[I] / 2);
      Fleet.time().after(Workload.Length / 2,
                         [this, I] { Fleet.topUp(poolOf(I), Budget[I] / 2); });
    }
    scheduleRequest();
    sampleDoubt();
    scheduleFaults();
    Fleet.time().run(Instant{} + Workload.Length);
    Outcome.Counts = Fleet.tally();
    Outcome.Overspent = Fleet.overspend();
    return Outcome;
  }

private:
  void scheduleRequest() {
    std::exponential_distribution<double> Gap{Workload.PerSecond / 1000};
    const auto Wait =
        Millis{static_cast<std::int64_t>(Gap(Fleet.random())) + 1};
    Fleet.time().after(Wait, [this] {
      sendRequest();
      scheduleRequest();
    });
  }

  void sendRequest() {
    std::uniform_real_distribution<double> Unit;
    double Remaining = Unit(Fleet.random());
    std::size_t Pool = 0;
    while (Pool + 1 < PoolCount && Remaining >= weightOf(Pool)) {
      Remaining -= weightOf(Pool);
      ++Pool;
    }
    const bool IsSpread = Unit(Fleet.random()) < Workload.Spread;
    const auto VmIndex = IsSpread ? Fleet.random()() % VmCount : Pool % VmCount;
    const auto Answer = static_cast<std::int64_t>(
        Unit(Fleet.random()) * static_cast<double>(MaxAnswerTokens));
    const Tokens Actual{PromptTokens + Answer};
    Fleet.request(VmIndex, poolOf(Pool),
                  Tokens{PromptTokens * 4 + MaxAnswerTokens}, Actual,
                  Millis{20 + Answer * 30});
  }

  void scheduleFaults() {
    using Fault = WorkloadSettings::Fault;
    auto &Time = Fleet.time();
    const auto Quarter = Workload.Length / 4;
    if (Workload.FaultKind == Fault::RegionCut) {
      for (std::size_t I = 0; I < VmCount / 3; ++I) {
        Time.after(Quarter, [this, I] { Fleet.log().cut(I, true); });
        Time.after(Quarter + std::chrono::hours{1},
                   [this, I] { Fleet.log().cut(I, false); });
      }
    } else if (Workload.FaultKind == Fault::Outage) {
      Time.after(Quarter, [this] { Fleet.outage(true); });
      Time.after(Quarter + std::chrono::minutes{10},
                 [this] { Fleet.outage(false); });
    } else if (Workload.FaultKind == Fault::Crashes) {
      for (std::size_t I = 0; I < VmCount; ++I) {
        Time.after(Workload.Length / 10 * static_cast<std::int64_t>(I + 1),
                   [this, I] { Fleet.crash(I, Millis{5'000}); });
      }
    } else if (Workload.FaultKind == Fault::LostAnswers) {
      for (int I = 1; I < 100; ++I) {
        Time.after(Workload.Length / 100 * I,
                   [this] { Fleet.log().loseResponses(3); });
      }
    }
  }

  void sampleDoubt() {
    static constexpr Millis Interval{100};
    Fleet.time().after(Interval, [this] {
      bool AnyInDoubt = false;
      for (std::size_t I = 0; I < PoolCount; ++I) {
        const auto *Pool = Fleet.log().state().find(poolOf(I));
        Tokens InDoubt;
        for (const auto &[Holder, Amount] : Pool->Unsettled) {
          InDoubt += Amount;
        }
        AnyInDoubt = AnyInDoubt || InDoubt > Tokens{0};
        Outcome.DoubtShare = std::max(
            Outcome.DoubtShare, static_cast<double>(InDoubt.count()) /
                                    static_cast<double>(Pool->Total.count()));
      }
      CurrentDoubtTime = AnyInDoubt ? CurrentDoubtTime + Interval : Millis{0};
      Outcome.DoubtTime = std::max(Outcome.DoubtTime, CurrentDoubtTime);
      sampleDoubt();
    });
  }

  WorkloadSettings Workload;
  LedgerFleet<GrantHolder<Sizing>> Fleet;
  std::vector<Tokens> Budget;
  Millis CurrentDoubtTime{0};
  Result Outcome;
};

template <typename Sizing>
std::string row(const WorkloadSettings &Workload, const char *Policy,
                std::uint64_t Seeds, Sizing Size) {
  Result Total;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const auto Single = Run<Sizing>{Workload, Seed, Size}.run();
    Total.Counts.Arrived += Single.Counts.Arrived;
    Total.Counts.Refused += Single.Counts.Refused;
    Total.Counts.FalseRefusals += Single.Counts.FalseRefusals;
    Total.Counts.Appends += Single.Counts.Appends;
    Total.Overspent = std::max(Total.Overspent, Single.Overspent);
    Total.DoubtShare = std::max(Total.DoubtShare, Single.DoubtShare);
    Total.DoubtTime = std::max(Total.DoubtTime, Single.DoubtTime);
  }
  const auto Seconds = std::chrono::duration<double>{Workload.Length}.count();
  std::array<char, 160> Line{};
  std::snprintf(Line.data(), Line.size(),
                "%-14s %-14s %9llu %8llu %8.3f%% %9lld %8.2f%% %7.1f %8.2f\n",
                Workload.Name, Policy,
                static_cast<unsigned long long>(Total.Counts.Arrived),
                static_cast<unsigned long long>(Total.Counts.Refused),
                100.0 * static_cast<double>(Total.Counts.FalseRefusals) /
                    static_cast<double>(Total.Counts.Arrived),
                static_cast<long long>(Total.Overspent.count()),
                100 * Total.DoubtShare,
                std::chrono::duration<double>{Total.DoubtTime}.count(),
                static_cast<double>(Total.Counts.Appends) / Seconds /
                    static_cast<double>(Seeds));
  return Line.data();
}

} // namespace

int main(int Count, char **Arguments) {
  using Fault = WorkloadSettings::Fault;
  const std::uint64_t Seeds =
      Count > 1 ? std::strtoull(Arguments[1], nullptr, 10) : 3;
  const Millis Hour = std::chrono::hours{1};
  const std::vector<WorkloadSettings> Settings{
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
  const auto StartRow = [&](const WorkloadSettings &Workload,
                            const char *Policy, auto Size) {
    Rows.push_back(std::async(std::launch::async, [=] {
      return row(Workload, Policy, Seeds, Size);
    }));
  };
  for (const auto &Workload : Settings) {
    StartRow(Workload, "equal", EqualSizing{});
    StartRow(Workload, "demand 60 s", DemandSizing{Millis{60'000}, 32});
    StartRow(Workload, "demand 75 min", DemandSizing{});
  }
  for (auto &Row : Rows) {
    std::fputs(Row.get().c_str(), stdout);
  }
  return 0;
}
