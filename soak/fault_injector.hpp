/// @file
/// Injects random faults into a fleet. Faults may overlap; each one is undone
/// after a random delay.

#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "invariant_checker.hpp"

namespace soak {

using Clock = std::chrono::steady_clock;

/// @brief Injects faults into a fleet from outside its processes. Not
/// thread-safe.
class FaultInjector {
public:
  /// @param KindNames Names of the faults to inject; all if empty.
  /// @throws std::invalid_argument for an unknown name.
  FaultInjector(platform_test::Fleet &Fleet, InvariantChecker &Checker,
                int VmCount, std::int64_t PrepaidTokens, std::uint64_t Seed,
                const std::vector<std::string> &KindNames);

  /// @brief Returns the names of all faults.
  [[nodiscard]] static std::vector<std::string> kinds();
  /// @brief Returns the injected faults and their times, one per line.
  [[nodiscard]] const std::string &history() const noexcept { return History; }

  /// @brief Injects faults until a time point, then undoes all of them.
  void run(Clock::time_point EndTime);

private:
  using Fault = void (FaultInjector::*)();

  [[nodiscard]] static const std::map<std::string, Fault> &faults();
  void kill();
  void terminate();
  /// @brief Stops a VM by several signals that overlap.
  void terminateRepeatedly();
  /// @brief Lets a VM read its settings again, whatever state it is in.
  void hangUp();
  /// @brief Stops reading the log of a VM, or closes it, until it is restarted.
  void abandonLog();
  void pause();
  void stopStore();
  void loseStoreAnswers();
  void disruptStoreLink();
  void disruptVmStoreLink();
  void changeReplicaBehavior();
  /// @brief Lets a replica answer part of what it has executed with a status
  /// that promises the opposite.
  void refuseAfterRun();
  void disruptReplicaLink();
  /// @brief Lets a replica state a rate limit, and checks at the end of the
  /// fault that all VMs together kept to it.
  void limitReplica();
  void drainReplica();
  /// @brief Lets a replica say in its responses that it leaves, after which it
  /// is started again, or that it wants no requests for a second.
  void letReplicaAskForNothing();
  /// @brief Publishes a new version with the default API key and a new one.
  void publishVersion();
  /// @brief Publishes a new version twice, with the default API key only.
  void publishVersionTwice();

  /// @brief Picks a random VM and marks it as in use by a fault.
  /// @return Its number, or -1 if another fault already uses it.
  [[nodiscard]] int acquireVm(const std::string &Fault);
  /// @brief Resets the connections of a link, or sets a random fault mode on it
  /// for a random time.
  void disruptLink(standin::FaultyLink &Link, const std::string &LinkName,
                   int MaxDelayMs);
  /// @brief Expects the process of a VM that was stopped to end in time, and
  /// restarts it.
  void scheduleRestart(int Vm);
  /// @brief Reports processes that have ended although no fault ended them, and
  /// restarts them.
  void checkProcesses();
  /// @brief Restarts the daemon of a VM and makes the VM available again.
  void restart(int Vm);
  /// @brief Schedules the end of a fault after a random delay.
  void scheduleUndo(int MinDelayMs, int MaxDelayMs, std::function<void()> Undo);
  /// @brief Undoes the faults that end by a time point.
  void runDueUndos(Clock::time_point Now);
  /// @brief Appends a line to the history.
  void recordEvent(const std::string &Text);
  [[nodiscard]] int randomBetween(int Min, int Max);

  platform_test::Fleet &Fleet;
  InvariantChecker &Checker;
  std::vector<bool> VmsInUse; ///< VMs with an active fault.
  std::vector<bool> ReplicasInUse;
  std::vector<bool> LimitedReplicas;
  /// When a VM was last stopped, paused or started. A VM that has just started
  /// does not know the limits, and a paused one may have sent before.
  Clock::time_point LastVmFault = Clock::now();
  std::int64_t PrepaidTokens;
  std::mt19937_64 Random;
  std::vector<Fault> EnabledFaults;
  std::multimap<Clock::time_point, std::function<void()>> Undos;
  std::string History;
  Clock::time_point StartTime = Clock::now();
  int ConfigVersion = 1;
};

} // namespace soak
