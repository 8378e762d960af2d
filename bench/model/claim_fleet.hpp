/// @file
/// A model of calls that may not be repeated, in virtual time: VMs with their
/// real claim keepers around a fake log, and a target that counts its runs.

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

/// @brief What callers and the target know of one call.
struct CallRecord {
  int Runs = 0;       ///< By the target's own count.
  int SaidNotRun = 0; ///< Attempts refused as not run.
  int Attempts = 0;
  int Replayed = 0; ///< Attempts answered with the recorded outcome.
};

/// @brief The fleet.
/// @tparam Keeper Decides on calls; has the members of `ClaimArbiter`.
template <typename Keeper> class ClaimFleet {
public:
  using Maker = std::function<std::unique_ptr<Keeper>(Outbox &)>;

  ClaimFleet(std::size_t Count, std::uint64_t Seed, Maker Make)
      : Make{std::move(Make)}, Random{Seed},
        Log{Clock, Count, {}, [this](std::size_t I) { poll(I); }} {
    Vms.resize(Count);
    for (std::size_t I = 0; I < Count; ++I) {
      boot(I);
    }
  }

  [[nodiscard]] Timeline &time() noexcept { return Clock; }
  [[nodiscard]] FakeLog &log() noexcept { return Log; }
  [[nodiscard]] std::mt19937_64 &random() noexcept { return Random; }
  [[nodiscard]] const std::map<RequestId, CallRecord> &calls() const noexcept {
    return Calls;
  }

  /// @brief A caller's attempt at a call through a VM.
  void attempt(std::size_t I, const RequestId &Key) {
    ++Calls[Key].Attempts;
    if (!Log.at(I).Alive) {
      return;
    }
    const auto Ticket = ++Tickets;
    Vms[I].Asked[Ticket] = Key;
    tell(I, Vms[I].Own->request(Clock.now(), Log.at(I).Fold, Ticket, Key));
    Log.kick(I);
  }

  void crash(std::size_t I, Millis RestartAfter) {
    Log.kill(I);
    Vms[I].Asked.clear();
    Log.after(I, RestartAfter, [this, I] { boot(I); });
  }

private:
  struct Vm {
    std::unique_ptr<Keeper> Own;
    std::map<std::uint64_t, RequestId> Asked; ///< By ticket.
  };

  void boot(std::size_t I) {
    Log.boot(I);
    Vms[I].Own = Make(*Log.at(I).Out);
  }

  void poll(std::size_t I) {
    auto &Node = Log.at(I);
    Node.Out->acknowledge(Node.Fold.sequence(Node.Self));
    tell(I, Vms[I].Own->poll(Clock.now(), Node.Fold));
  }

  void tell(std::size_t I, const std::vector<ClaimDecision> &Some) {
    for (const auto &One : Some) {
      const auto Ticket =
          std::visit([](const auto &D) { return D.Ticket; }, One);
      const auto Key = Vms[I].Asked.extract(Ticket).mapped();
      if (std::holds_alternative<ClaimGranted>(One)) {
        send(I, Key);
      } else if (std::holds_alternative<ClaimTimedOut>(One)) {
        ++Calls[Key].SaidNotRun;
      } else if (std::holds_alternative<ClaimCompleted>(One)) {
        ++Calls[Key].Replayed;
      }
    }
  }

  /// @brief Sends a held call; a third can't be connected, the rest run.
  void send(std::size_t I, const RequestId &Key) {
    const auto Wait = Millis{static_cast<std::int64_t>(Random() % 300)};
    Log.after(I, Wait, [this, I, Key] {
      if (Random() % 3 == 0) {
        ++Calls[Key].SaidNotRun;
        Vms[I].Own->release(Key);
        Log.kick(I);
        return;
      }
      ++Calls[Key].Runs;
      const auto Length = Millis{static_cast<std::int64_t>(Random() % 300)};
      Log.after(I, Length, [this, I, Key] {
        Vms[I].Own->end(Outcome{Key, Verdict::Ran, 200, "", "done"});
        Log.kick(I);
      });
    });
  }

  Maker Make;
  std::mt19937_64 Random;
  Timeline Clock;
  FakeLog Log;
  std::vector<Vm> Vms;
  std::map<RequestId, CallRecord> Calls;
  std::uint64_t Tickets = 0;
};

} // namespace model
