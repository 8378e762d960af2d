/// @file
/// Soak test: runs real daemons under random faults and checks the answers that
/// callers get and the requests that replicas execute. Exits with 1 if an
/// invariant was violated, and with 2 on an error.

#include <atomic>
#include <iostream>
#include <thread>

#include <boost/program_options.hpp>

#include "fault_injector.hpp"

namespace {

namespace options = boost::program_options;
using platform_test::Call;
using soak::RequestKind;

constexpr int ReplicaCount = 3;
/// Every VM must serve again within this time after the last fault has ended.
constexpr int RecoveryTimeoutMs = 12'000;

/// @brief Options of the command line.
struct SoakOptions {
  std::uint64_t Seed = 1;
  int Seconds = 20;
  int VmCount = 3;
  int Callers = 8;
  std::int64_t PrepaidTokens = 200'000;
  std::vector<std::string> Kinds;
};

[[nodiscard]] Call makeCall(RequestKind Kind, const std::string &AttemptId) {
  switch (Kind) {
  case RequestKind::Chat:
    return {"/chat/1", "key-1", AttemptId,
            std::to_string(soak::InvariantChecker::InputTokens) + ",60",
            "3000"};
  case RequestKind::Order:
    return {"/order/1", "key-1", AttemptId, "", "3000"};
  case RequestKind::Stock:
    return {"/stock/1", "key-1", AttemptId, "", "3000"};
  }
  return {};
}

/// @brief Sends random requests one after the other until `Stopping` is set.
void runCaller(platform_test::Fleet &Fleet, soak::InvariantChecker &Checker,
               const std::atomic<bool> &Stopping, const SoakOptions &Options,
               int Number) {
  std::mt19937_64 Random{Options.Seed * 1'000 + static_cast<unsigned>(Number)};
  for (int I = 0; !Stopping; ++I) {
    const auto Kind = static_cast<RequestKind>(Random() % 3);
    const auto AttemptId =
        "c" + std::to_string(Number) + "-" + std::to_string(I);
    const auto Vm = static_cast<int>(
        Random() % static_cast<std::uint64_t>(Options.VmCount));
    const auto Answer = Fleet.call(makeCall(Kind, AttemptId), Vm);
    if (Answer.Status != 0) {
      Checker.checkAnswer(Kind, AttemptId, Answer);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{Random() % 40});
  }
}

void checkRecovery(platform_test::Fleet &Fleet, soak::InvariantChecker &Checker,
                   int VmCount) {
  for (int Vm = 0; Vm < VmCount; ++Vm) {
    int Try = 0;
    const bool Serves = Fleet.eventually(
        [&] {
          const auto AttemptId =
              "r" + std::to_string(Vm) + "-" + std::to_string(++Try);
          return Fleet.call(makeCall(RequestKind::Stock, AttemptId), Vm)
                     .Status == 200;
        },
        RecoveryTimeoutMs);
    if (!Serves) {
      Checker.addViolation("vm-" + std::to_string(Vm) +
                           " did not serve requests after the last fault");
    }
  }
}

int runSoak(const SoakOptions &Options) {
  platform_test::Fleet Fleet{ReplicaCount, Options.VmCount,
                             Options.PrepaidTokens};
  soak::InvariantChecker Checker{Fleet, Options.PrepaidTokens};
  soak::FaultInjector Injector{Fleet,           Checker,
                               Options.VmCount, Options.PrepaidTokens,
                               Options.Seed,    Options.Kinds};
  for (int Vm = 0; Vm < Options.VmCount; ++Vm) {
    if (!Fleet.waitUntilReady(Vm)) {
      Checker.addViolation("vm-" + std::to_string(Vm) + " did not start");
    }
  }
  std::atomic<bool> Stopping{false};
  std::vector<std::thread> Callers;
  Callers.reserve(static_cast<std::size_t>(Options.Callers));
  for (int I = 0; I < Options.Callers; ++I) {
    Callers.emplace_back(
        [&, I] { runCaller(Fleet, Checker, Stopping, Options, I); });
  }
  Injector.run(soak::Clock::now() + std::chrono::seconds{Options.Seconds});
  checkRecovery(Fleet, Checker, Options.VmCount);
  Stopping = true;
  for (auto &Caller : Callers) {
    Caller.join();
  }
  Checker.checkTotals();
  const auto Violations = Checker.violations();
  std::cout << "seed " << Options.Seed << ", " << Options.Seconds << " s, "
            << Options.VmCount << " VMs\nanswers:\n"
            << Checker.report() << "faults:\n"
            << Injector.history();
  if (!Violations.empty()) {
    std::cout << "violated invariants:\n";
  }
  for (const auto &Violation : Violations) {
    std::cout << "  " << Violation << "\n";
  }
  std::cout << (Violations.empty() ? "no invariant violated\n" : "");
  return Violations.empty() ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  SoakOptions Options;
  options::options_description Description{
      "soak: runs real daemons under random faults"};
  std::string Kinds;
  for (const auto &Name : soak::FaultInjector::kinds()) {
    Kinds += " " + Name;
  }
  Description.add_options()("help", "show this")(
      "seed", options::value(&Options.Seed),
      "seed of the random faults and requests")(
      "seconds", options::value(&Options.Seconds),
      "how long faults are injected")("vms", options::value(&Options.VmCount),
                                      "number of daemons")(
      "callers", options::value(&Options.Callers),
      "number of concurrent callers")("prepaid",
                                      options::value(&Options.PrepaidTokens),
                                      "prepaid tokens of the workspace")(
      "kind", options::value(&Options.Kinds)->composing(),
      ("a kind of fault to inject, repeatable; default: all of" + Kinds)
          .c_str());
  try {
    options::variables_map Parsed;
    options::store(options::parse_command_line(Count, Arguments, Description),
                   Parsed);
    options::notify(Parsed);
    if (Parsed.count("help") != 0) {
      std::cout << Description;
      return 0;
    }
    if (Options.VmCount < 1 || Options.Callers < 1 || Options.Seconds < 0) {
      throw std::invalid_argument(
          "vms and callers must be at least 1, seconds at least 0");
    }
    return runSoak(Options);
  } catch (const std::exception &Error) {
    std::cerr << "soak: " << Error.what() << "\n";
    return 2;
  }
}
