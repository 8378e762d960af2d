/// @file
/// A simulation in virtual time of calls that must not run twice: VMs with real
/// claim arbiters share a simulated log, and the target counts the runs of each
/// call.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "goldcrestnotch/ledger/claim_arbiter.hpp"
#include "model/fake_log.hpp"

namespace model {

/// @brief What the target counted and the callers were told about one call.
struct CallStats {
  int Runs = 0;           ///< Counted by the target.
  int ReportedNotRun = 0; ///< Attempts answered as not run.
  int Attempts = 0;
  int Replayed = 0; ///< Attempts answered with the recorded outcome.
};

/// @brief Simulated VMs that decide on calls through the log.
/// @tparam Arbiter Decides on calls; has the members of `ClaimArbiter`, or is a
/// baseline to compare with.
template <typename Arbiter> class ClaimFleet {
public:
  using ArbiterFactory = std::function<std::unique_ptr<Arbiter>(Outbox &)>;

  ClaimFleet(std::size_t Count, std::uint64_t Seed, ArbiterFactory MakeArbiter)
      : MakeArbiter{std::move(MakeArbiter)}, Random{Seed},
        Log{Clock, Count, {}, [this](std::size_t I) { poll(I); }} {
    Vms.resize(Count);
    for (std::size_t I = 0; I < Count; ++I) {
      boot(I);
    }
  }

  [[nodiscard]] Timeline &time() noexcept { return Clock; }
  [[nodiscard]] FakeLog &log() noexcept { return Log; }
  [[nodiscard]] std::mt19937_64 &random() noexcept { return Random; }
  [[nodiscard]] const std::map<RequestId, CallStats> &calls() const noexcept {
    return Calls;
  }

  /// @brief Sends an attempt of a call through a VM.
  void attempt(std::size_t I, const RequestId &Key) {
    ++Calls[Key].Attempts;
    if (!Log.at(I).Alive) {
      return;
    }
    const auto Ticket = ++LastTicket;
    Vms[I].PendingCalls[Ticket] = Key;
    apply(I,
          Vms[I].Decider->request(Clock.now(), Log.at(I).State, Ticket, Key));
    Log.scheduleAppend(I);
  }

  void crash(std::size_t I, Millis RestartAfter) {
    Log.kill(I);
    Vms[I].PendingCalls.clear();
    Log.after(I, RestartAfter, [this, I] { boot(I); });
  }

private:
  struct Vm {
    std::unique_ptr<Arbiter> Decider;
    std::map<std::uint64_t, RequestId> PendingCalls; ///< By ticket.
  };

  void boot(std::size_t I) {
    Log.boot(I);
    Vms[I].Decider = MakeArbiter(*Log.at(I).Pending);
  }

  void poll(std::size_t I) {
    auto &Node = Log.at(I);
    Node.Pending->acknowledge(Node.State.sequence(Node.Self));
    apply(I, Vms[I].Decider->poll(Clock.now(), Node.State));
  }

  void apply(std::size_t I, const std::vector<ClaimDecision> &Decisions) {
    for (const auto &Decision : Decisions) {
      const auto Ticket =
          std::visit([](const auto &D) { return D.Ticket; }, Decision);
      const auto Key = Vms[I].PendingCalls.extract(Ticket).mapped();
      if (std::holds_alternative<ClaimGranted>(Decision)) {
        send(I, Key);
      } else if (std::holds_alternative<ClaimTimedOut>(Decision)) {
        ++Calls[Key].ReportedNotRun;
      } else if (std::holds_alternative<ClaimCompleted>(Decision)) {
        ++Calls[Key].Replayed;
      }
    }
  }

  /// @brief Sends a call whose claim was granted. For one in three the
  /// connection to the target fails; the others run.
  void send(std::size_t I, const RequestId &Key) {
    const auto ConnectDelay = Millis{static_cast<std::int64_t>(Random() % 300)};
    Log.after(I, ConnectDelay, [this, I, Key] {
      if (Random() % 3 == 0) {
        ++Calls[Key].ReportedNotRun;
        Vms[I].Decider->release(Key);
        Log.scheduleAppend(I);
        return;
      }
      ++Calls[Key].Runs;
      const auto Duration = Millis{static_cast<std::int64_t>(Random() % 300)};
      Log.after(I, Duration, [this, I, Key] {
        Vms[I].Decider->end(Outcome{Key, Verdict::Ran, 200, "", "done"});
        Log.scheduleAppend(I);
      });
    });
  }

  ArbiterFactory MakeArbiter;
  std::mt19937_64 Random;
  Timeline Clock;
  FakeLog Log;
  std::vector<Vm> Vms;
  std::map<RequestId, CallStats> Calls;
  std::uint64_t LastTicket = 0;
};

} // namespace model
