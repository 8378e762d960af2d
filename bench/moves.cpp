/// @file
/// Simulates version moves at several request rates and with several faults, in
/// virtual time: `bench_moves [SEEDS]`. Prints how the moves ended and how many
/// requests met the fault.

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "model/move_fleet.hpp"

namespace {

using namespace model;

struct Row {
  const char *Name;
  MoveTrial Trial;
};

MoveTrial trial(double PerSecond, Millis Length, FaultKind Fault,
                double FailShare = 1) {
  MoveTrial Result;
  Result.PerSecond = PerSecond;
  Result.Length = Length;
  Result.Fault = Fault;
  Result.FailShare = FailShare;
  return Result;
}

void print(const Row &Case, std::uint64_t Seeds) {
  std::uint64_t Completed = 0;
  std::uint64_t RolledBack = 0;
  std::uint64_t InTime = 0;
  std::uint64_t Exposed = 0;
  std::uint64_t Requests = 0;
  std::uint64_t MaxExposed = 0;
  Millis SlowestReaction{0};
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const auto Result = MoveFleet{Case.Trial, Seed}.run();
    Completed += Result.End == MoveOutcome::Completed ? 1 : 0;
    RolledBack += Result.End == MoveOutcome::RolledBack ? 1 : 0;
    InTime += Result.InTime ? 1 : 0;
    Exposed += Result.Exposed;
    Requests += Result.Requests;
    MaxExposed = std::max(MaxExposed, Result.Exposed);
    SlowestReaction = std::max(SlowestReaction, Result.Reaction);
  }
  const auto Share = [&](std::uint64_t Count) {
    return 100 * static_cast<double>(Count) / static_cast<double>(Seeds);
  };
  std::printf("%-26s %8.3f %6.1f%% %6.1f%% %6.1f%% %9.4f%% %6llu %9.2f\n",
              Case.Name, Case.Trial.PerSecond, Share(Completed),
              Share(RolledBack), Share(InTime),
              100 * static_cast<double>(Exposed) /
                  static_cast<double>(std::max<std::uint64_t>(Requests, 1)),
              static_cast<unsigned long long>(MaxExposed),
              std::chrono::duration<double>{SlowestReaction}.count());
}

} // namespace

int main(int Count, char **Arguments) {
  const std::uint64_t Seeds =
      Count > 1 ? std::strtoull(Arguments[1], nullptr, 10) : 20;
  const Millis Minute = std::chrono::minutes{1};
  const Millis Day = std::chrono::hours{24};
  auto Outage = trial(100, Minute, FaultKind::AtOnce);
  Outage.OutageStart = Millis{10'000};
  Outage.OutageDuration = Millis{70'000};
  auto GoodOutage = Outage;
  GoodOutage.Fault = FaultKind::None;
  GoodOutage.OutageDuration = Millis{20'000};
  auto Noisy = trial(300, Minute, FaultKind::None);
  Noisy.BaseFailureRate = 0.01;
  const std::vector<Row> Rows{
      {"good", trial(300, Minute, FaultKind::None)},
      {"good, usual faults 1 %", Noisy},
      {"good, few", trial(0.002, Day, FaultKind::None)},
      {"good, log out 20 s", GoodOutage},
      {"fails at once", trial(300, Minute, FaultKind::AtOnce)},
      {"fails 1 in 5", trial(300, Minute, FaultKind::AtOnce, 0.2)},
      {"fails later", trial(300, Minute, FaultKind::Later)},
      {"fails under load", trial(300, Minute, FaultKind::UnderLoad)},
      {"slow", trial(300, Minute, FaultKind::Slow)},
      {"slow, few", trial(0.002, Day, FaultKind::Slow)},
      {"fails at once, few", trial(0.002, Day, FaultKind::AtOnce)},
      {"fails later, few", trial(0.002, Day, FaultKind::Later)},
      {"bad, log out to the end", Outage},
  };
  std::printf("%-26s %8s %7s %7s %7s %10s %6s %9s\n", "move", "req/s", "done",
              "back", "in time", "exposed", "most", "slowest s");
  for (const auto &Case : Rows) {
    print(Case, Seeds);
  }
  return 0;
}
