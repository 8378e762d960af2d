/// @file
/// Implements the faults of the soak test.

#include "fault_injector.hpp"

#include <array>
#include <csignal>
#include <stdexcept>
#include <thread>

namespace soak {

using platform_test::UsersReplica;
using standin::FaultyLink;

namespace {

constexpr std::chrono::milliseconds PollInterval{20};
/// Time from the first statement of a rate limit until all VMs keep to it.
constexpr goldcrestnotch::Millis LimitReactionTime{3'000};
/// A limited replica gets in this time at most one and a half times what its
/// limit allows, and `LimitSlack` more.
constexpr goldcrestnotch::Millis LimitWindow{4'000};
constexpr std::size_t LimitSlack = 5;
/// A daemon must stop within this time of SIGTERM: more than the grace time of
/// the fleet's settings (`graceS`, 4 s).
constexpr int ShutdownTimeoutMs = 5'000;
/// Time in which a started process begins to run.
constexpr std::chrono::milliseconds LoadTime{10};

} // namespace

FaultInjector::FaultInjector(platform_test::Fleet &Fleet,
                             InvariantChecker &Checker, int VmCount,
                             std::int64_t PrepaidTokens, std::uint64_t Seed,
                             const std::vector<std::string> &KindNames)
    : Fleet{Fleet}, Checker{Checker},
      VmsInUse(static_cast<std::size_t>(VmCount)),
      ReplicasInUse(static_cast<std::size_t>(Fleet.replicaCount())),
      LimitedReplicas(static_cast<std::size_t>(Fleet.replicaCount())),
      PrepaidTokens{PrepaidTokens}, Random{Seed} {
  for (const auto &Name : KindNames.empty() ? kinds() : KindNames) {
    const auto Found = faults().find(Name);
    if (Found == faults().end()) {
      throw std::invalid_argument("unknown kind of fault: " + Name);
    }
    EnabledFaults.push_back(Found->second);
  }
}

const std::map<std::string, FaultInjector::Fault> &FaultInjector::faults() {
  static const std::map<std::string, Fault> FaultsByName{
      {"kill", &FaultInjector::kill},
      {"terminate", &FaultInjector::terminate},
      {"signals", &FaultInjector::terminateRepeatedly},
      {"hangup", &FaultInjector::hangUp},
      {"log-reader", &FaultInjector::abandonLog},
      {"pause", &FaultInjector::pause},
      {"store-down", &FaultInjector::stopStore},
      {"store-loses-answers", &FaultInjector::loseStoreAnswers},
      {"store-link", &FaultInjector::disruptStoreLink},
      {"vm-store-link", &FaultInjector::disruptVmStoreLink},
      {"replica-mood", &FaultInjector::changeReplicaBehavior},
      {"replica-false-refusal", &FaultInjector::refuseAfterRun},
      {"replica-link", &FaultInjector::disruptReplicaLink},
      {"replica-limit", &FaultInjector::limitReplica},
      {"replica-leaves", &FaultInjector::drainReplica},
      {"replica-notice", &FaultInjector::letReplicaAskForNothing},
      {"unchanged-version", &FaultInjector::publishVersionTwice},
      {"version", &FaultInjector::publishVersion}};
  return FaultsByName;
}

std::vector<std::string> FaultInjector::kinds() {
  std::vector<std::string> Result;
  for (const auto &[Name, Method] : faults()) {
    Result.push_back(Name);
  }
  return Result;
}

void FaultInjector::run(Clock::time_point EndTime) {
  auto NextFault = Clock::now();
  while (Clock::now() < EndTime) {
    const auto Now = Clock::now();
    runDueUndos(Now);
    checkProcesses();
    if (Now >= NextFault) {
      (this->*EnabledFaults[static_cast<std::size_t>(randomBetween(
                  0, static_cast<int>(EnabledFaults.size()) - 1))])();
      NextFault = Now + std::chrono::milliseconds{randomBetween(30, 900)};
    }
    std::this_thread::sleep_for(PollInterval);
  }
  while (!Undos.empty()) {
    runDueUndos(Undos.begin()->first);
  }
  recordEvent("all faults undone");
}

void FaultInjector::kill() {
  const int Vm = acquireVm("kill");
  if (Vm < 0) {
    return;
  }
  Fleet.daemon(Vm).signal(SIGKILL);
  scheduleUndo(50, 1'500, [this, Vm] { restart(Vm); });
}

void FaultInjector::terminate() {
  const int Vm = acquireVm("terminate");
  if (Vm < 0) {
    return;
  }
  Fleet.daemon(Vm).signal(SIGTERM);
  scheduleRestart(Vm);
}

void FaultInjector::terminateRepeatedly() {
  const int Vm = acquireVm("signals");
  if (Vm < 0) {
    return;
  }
  for (const int Number : {SIGHUP, SIGTERM, SIGHUP, SIGINT, SIGTERM}) {
    Fleet.daemon(Vm).signal(Number);
    std::this_thread::sleep_for(std::chrono::milliseconds{1});
  }
  scheduleRestart(Vm);
}

void FaultInjector::hangUp() {
  // The program has to be loaded first.
  if (Clock::now() - LastVmFault < LoadTime) {
    return;
  }
  const int Vm = randomBetween(0, static_cast<int>(VmsInUse.size()) - 1);
  recordEvent("hangup vm-" + std::to_string(Vm));
  Fleet.daemon(Vm).signal(SIGHUP);
}

void FaultInjector::abandonLog() {
  const int Vm = randomBetween(0, static_cast<int>(VmsInUse.size()) - 1);
  const bool Closes = randomBetween(0, 1) == 1;
  recordEvent((Closes ? "close log of vm-" : "stall log of vm-") +
              std::to_string(Vm));
  if (Closes) {
    Fleet.daemon(Vm).closeOutput();
  } else {
    Fleet.daemon(Vm).stallOutput();
  }
}

void FaultInjector::checkProcesses() {
  for (std::size_t I = 0; I < VmsInUse.size(); ++I) {
    const int Vm = static_cast<int>(I);
    const auto Code = VmsInUse[I] ? std::nullopt : Fleet.daemon(Vm).wait(0);
    if (Code) {
      Checker.addViolation("vm-" + std::to_string(Vm) +
                           " ended by itself with " + std::to_string(*Code));
      restart(Vm);
    }
  }
}

void FaultInjector::scheduleRestart(int Vm) {
  scheduleUndo(ShutdownTimeoutMs, ShutdownTimeoutMs + 500, [this, Vm] {
    if (!Fleet.daemon(Vm).wait(0)) {
      Checker.addViolation("vm-" + std::to_string(Vm) +
                           " did not stop within its grace time");
      Fleet.daemon(Vm).signal(SIGKILL);
    }
    restart(Vm);
  });
}

void FaultInjector::pause() {
  const int Vm = acquireVm("pause");
  if (Vm < 0) {
    return;
  }
  Fleet.daemon(Vm).signal(SIGSTOP);
  scheduleUndo(100, 4'000, [this, Vm] {
    Fleet.daemon(Vm).signal(SIGCONT);
    LastVmFault = Clock::now();
    recordEvent("resume vm-" + std::to_string(Vm));
    VmsInUse[static_cast<std::size_t>(Vm)] = false;
  });
}

void FaultInjector::stopStore() {
  recordEvent("store down");
  Fleet.Store.Down = true;
  scheduleUndo(200, 5'000, [this] { Fleet.Store.Down = false; });
}

void FaultInjector::loseStoreAnswers() {
  recordEvent("store loses answers");
  Fleet.Store.LoseAnswers = true;
  scheduleUndo(200, 3'000, [this] { Fleet.Store.LoseAnswers = false; });
}

void FaultInjector::disruptStoreLink() {
  disruptLink(Fleet.StoreLink, "the store", 4'000);
}

void FaultInjector::disruptVmStoreLink() {
  const int Vm = randomBetween(0, static_cast<int>(VmsInUse.size()) - 1);
  disruptLink(Fleet.vmStoreLink(Vm), "the store of vm-" + std::to_string(Vm),
              4'000);
}

void FaultInjector::changeReplicaBehavior() {
  const int Number = randomBetween(0, Fleet.replicaCount() - 1);
  const int BehaviorNumber = randomBetween(1, 6);
  recordEvent("replica " + std::to_string(Number) + " behavior " +
              std::to_string(BehaviorNumber));
  Fleet.replica(Number).CurrentBehavior =
      static_cast<UsersReplica::Behavior>(BehaviorNumber);
  scheduleUndo(200, 3'000, [this, Number] {
    Fleet.replica(Number).CurrentBehavior = UsersReplica::Behavior::Normal;
  });
}

void FaultInjector::refuseAfterRun() {
  constexpr std::array Statuses{408, 429, 503};
  const int Number = randomBetween(0, Fleet.replicaCount() - 1);
  const int Status = Statuses[static_cast<std::size_t>(randomBetween(0, 2))];
  auto &Replica = Fleet.replica(Number);
  recordEvent("replica " + Replica.name() + " answers every second request " +
              std::to_string(Status) + " after it has run");
  Replica.FailureStatus = Status;
  Replica.FailureInterval = 2;
  Replica.CurrentBehavior = UsersReplica::Behavior::Failing;
  scheduleUndo(1'000, 4'000, [&Replica] {
    Replica.CurrentBehavior = UsersReplica::Behavior::Normal;
    Replica.FailureInterval = 1;
    Replica.FailureStatus = 500;
  });
}

void FaultInjector::disruptReplicaLink() {
  const int Number = randomBetween(0, Fleet.replicaCount() - 1);
  disruptLink(Fleet.replicaLink(Number), "replica " + std::to_string(Number),
              2'000);
}

void FaultInjector::limitReplica() {
  const int Number = randomBetween(0, Fleet.replicaCount() - 1);
  const auto Index = static_cast<std::size_t>(Number);
  const int Limit = randomBetween(1, 8);
  if (LimitedReplicas[Index]) {
    return;
  }
  LimitedReplicas[Index] = true;
  auto &Replica = Fleet.replica(Number);
  recordEvent("replica " + Replica.name() + " states a limit of " +
              std::to_string(Limit) + " requests/s");
  Replica.RateLimit = Limit;
  const auto Begin = Clock::now();
  const auto CheckFrom =
      goldcrestnotch::DecisionClock::now() + LimitReactionTime;
  scheduleUndo(8'000, 10'000, [this, Index, &Replica, Limit, Begin, CheckFrom] {
    const auto Arrived = Replica.mostArrivals(LimitWindow, CheckFrom);
    const auto Allowed =
        static_cast<std::size_t>(1.5 * Limit * LimitWindow.count() / 1'000) +
        LimitSlack;
    Replica.RateLimit = 0;
    LimitedReplicas[Index] = false;
    recordEvent("replica " + Replica.name() + " got at most " +
                std::to_string(Arrived) + " of " + std::to_string(Allowed) +
                " requests in 4 s");
    if (LastVmFault < Begin - LimitReactionTime && Arrived > Allowed) {
      Checker.addViolation("replica " + Replica.name() + " got " +
                           std::to_string(Arrived) + " requests in 4 s of " +
                           std::to_string(Allowed) + " that its limit allows");
    }
  });
}

void FaultInjector::disruptLink(FaultyLink &Link, const std::string &LinkName,
                                int MaxDelayMs) {
  const int FaultNumber = randomBetween(0, 5);
  recordEvent("link to " + LinkName + ": " + std::to_string(FaultNumber));
  if (FaultNumber == 0) {
    Link.reset();
    return;
  }
  Link.CurrentMode = static_cast<FaultyLink::Mode>(FaultNumber);
  scheduleUndo(200, MaxDelayMs,
               [&Link] { Link.CurrentMode = FaultyLink::Mode::Pass; });
}

void FaultInjector::drainReplica() {
  const auto Number =
      static_cast<std::size_t>(randomBetween(0, Fleet.replicaCount() - 1));
  if (ReplicasInUse[Number]) {
    return;
  }
  ReplicasInUse[Number] = true;
  auto &Replica = Fleet.replica(static_cast<int>(Number));
  recordEvent("replica " + Replica.name() + " drains");
  Fleet.registerReplica(Replica, "draining");
  scheduleUndo(2'500, 4'000, [this, Number, &Replica] {
    Fleet.registerReplica(Replica, "ready");
    ReplicasInUse[Number] = false;
  });
}

void FaultInjector::letReplicaAskForNothing() {
  const auto Number =
      static_cast<std::size_t>(randomBetween(0, Fleet.replicaCount() - 1));
  if (ReplicasInUse[Number]) {
    return;
  }
  ReplicasInUse[Number] = true;
  auto &Replica = Fleet.replica(static_cast<int>(Number));
  const bool Leaves = randomBetween(0, 1) == 0;
  recordEvent("replica " + Replica.name() +
              (Leaves ? " says that it leaves" : " asks for a second"));
  Replica.Leaving = Leaves;
  Replica.RetryAfterS = Leaves ? 0 : 1;
  scheduleUndo(1'000, 3'000, [this, Number, &Replica] {
    if (Replica.Leaving) {
      Replica.restart();
    }
    Replica.Leaving = false;
    Replica.RetryAfterS = 0;
    Fleet.registerReplica(Replica, "ready");
    ReplicasInUse[Number] = false;
  });
}

void FaultInjector::publishVersion() {
  ++ConfigVersion;
  recordEvent("version " + std::to_string(ConfigVersion));
  Fleet.publish(ConfigVersion, PrepaidTokens,
                {"key-1", "key-v" + std::to_string(ConfigVersion)});
}

void FaultInjector::publishVersionTwice() {
  ++ConfigVersion;
  recordEvent("version " + std::to_string(ConfigVersion) + ", published twice");
  Fleet.publish(ConfigVersion, PrepaidTokens);
  Fleet.publish(ConfigVersion, PrepaidTokens);
}

int FaultInjector::acquireVm(const std::string &Fault) {
  const int Vm = randomBetween(0, static_cast<int>(VmsInUse.size()) - 1);
  if (VmsInUse[static_cast<std::size_t>(Vm)]) {
    return -1;
  }
  VmsInUse[static_cast<std::size_t>(Vm)] = true;
  LastVmFault = Clock::now();
  recordEvent(Fault + " vm-" + std::to_string(Vm));
  return Vm;
}

void FaultInjector::restart(int Vm) {
  recordEvent("start vm-" + std::to_string(Vm));
  Fleet.start(Vm);
  LastVmFault = Clock::now();
  VmsInUse[static_cast<std::size_t>(Vm)] = false;
}

void FaultInjector::scheduleUndo(int MinDelayMs, int MaxDelayMs,
                                 std::function<void()> Undo) {
  Undos.emplace(Clock::now() + std::chrono::milliseconds{randomBetween(
                                   MinDelayMs, MaxDelayMs)},
                std::move(Undo));
}

void FaultInjector::runDueUndos(Clock::time_point Now) {
  while (!Undos.empty() && Undos.begin()->first <= Now) {
    std::this_thread::sleep_until(Undos.begin()->first);
    const auto Undo = std::move(Undos.begin()->second);
    Undos.erase(Undos.begin());
    Undo();
  }
}

void FaultInjector::recordEvent(const std::string &Text) {
  const auto Ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock::now() - StartTime);
  History += "  " + std::to_string(Ms.count()) + " ms: " + Text + "\n";
}

int FaultInjector::randomBetween(int Min, int Max) {
  return std::uniform_int_distribution<int>{Min, Max}(Random);
}

} // namespace soak
