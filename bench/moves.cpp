/// @file
/// Version moves at many rates and with many faults, in virtual time:
/// `bench_moves [SEEDS]`. Prints how they ended and who met the fault.

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "model/move_fleet.hpp"

namespace {

using namespace model;

struct Row {
  const char *Name;
  MoveTrial Given;
};

MoveTrial trial(double PerSecond, Millis Length, Badness What,
                double FailShare = 1) {
  MoveTrial Result;
  Result.PerSecond = PerSecond;
  Result.Length = Length;
  Result.What = What;
  Result.FailShare = FailShare;
  return Result;
}

void print(const Row &One, std::uint64_t Seeds) {
  std::uint64_t Done = 0;
  std::uint64_t Back = 0;
  std::uint64_t InTime = 0;
  std::uint64_t Exposed = 0;
  std::uint64_t Requests = 0;
  std::uint64_t MostExposed = 0;
  Millis Slowest{0};
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const auto Result = MoveFleet{One.Given, Seed}.go();
    Done += Result.End == MoveOutcome::Completed ? 1 : 0;
    Back += Result.End == MoveOutcome::RolledBack ? 1 : 0;
    InTime += Result.InTime ? 1 : 0;
    Exposed += Result.Exposed;
    Requests += Result.Requests;
    MostExposed = std::max(MostExposed, Result.Exposed);
    Slowest = std::max(Slowest, Result.Reaction);
  }
  const auto Share = [&](std::uint64_t Count) {
    return 100 * static_cast<double>(Count) / static_cast<double>(Seeds);
  };
  std::printf("%-26s %8.3f %6.1f%% %6.1f%% %6.1f%% %9.4f%% %6llu %9.2f\n",
              One.Name, One.Given.PerSecond, Share(Done), Share(Back),
              Share(InTime),
              100 * static_cast<double>(Exposed) /
                  static_cast<double>(std::max<std::uint64_t>(Requests, 1)),
              static_cast<unsigned long long>(MostExposed),
              std::chrono::duration<double>{Slowest}.count());
}

} // namespace

int main(int Count, char **Words) {
  const std::uint64_t Seeds =
      Count > 1 ? std::strtoull(Words[1], nullptr, 10) : 20;
  const Millis Minute = std::chrono::minutes{1};
  const Millis Day = std::chrono::hours{24};
  auto Outage = trial(100, Minute, Badness::AtOnce);
  Outage.OutageFrom = Millis{10'000};
  Outage.OutageFor = Millis{70'000};
  auto GoodOutage = Outage;
  GoodOutage.What = Badness::None;
  GoodOutage.OutageFor = Millis{20'000};
  auto Noisy = trial(300, Minute, Badness::None);
  Noisy.UsualFailures = 0.01;
  const std::vector<Row> Rows{
      {"good", trial(300, Minute, Badness::None)},
      {"good, usual faults 1 %", Noisy},
      {"good, few", trial(0.002, Day, Badness::None)},
      {"good, log out 20 s", GoodOutage},
      {"fails at once", trial(300, Minute, Badness::AtOnce)},
      {"fails 1 in 5", trial(300, Minute, Badness::AtOnce, 0.2)},
      {"fails later", trial(300, Minute, Badness::Later)},
      {"fails under load", trial(300, Minute, Badness::UnderLoad)},
      {"slow", trial(300, Minute, Badness::Slow)},
      {"slow, few", trial(0.002, Day, Badness::Slow)},
      {"fails at once, few", trial(0.002, Day, Badness::AtOnce)},
      {"fails later, few", trial(0.002, Day, Badness::Later)},
      {"bad, log out to the end", Outage},
  };
  std::printf("%-26s %8s %7s %7s %7s %10s %6s %9s\n", "move", "req/s", "done",
              "back", "in time", "exposed", "most", "slowest s");
  for (const auto &One : Rows) {
    print(One, Seeds);
  }
  return 0;
}
