/// @file
/// A simulation of budgets in virtual time: VMs with real grant holders share a
/// simulated log. Of engines and callers, only the use of tokens is simulated.
/// A counter that sees the use of all VMs at once tells which refusals were
/// false.

#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "goldcrestnotch/ledger/grant_holder.hpp"
#include "model/fake_log.hpp"

namespace model {

/// @brief Counts of the requests of a run.
struct Tally {
  std::uint64_t Arrived = 0;
  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
  std::uint64_t FalseRefusals = 0; ///< Refused though enough tokens remained.
  std::uint64_t Lost = 0;          ///< Arrived at a VM that was down.
  std::uint64_t Appends = 0;
};

/// @brief The exact state of a budget over all VMs, without delay.
struct BudgetTotals {
  Tokens Total;    ///< Topped up so far.
  Tokens Used;     ///< Generated so far, billed or not.
  Tokens Reserved; ///< Bounds of requests in progress.

  [[nodiscard]] Tokens remaining() const noexcept {
    return Total - Used - Reserved;
  }
};

/// @brief Simulated VMs that share budgets through the log.
/// @tparam Holder Decides on requests; has the members of `GrantHolder`.
template <typename Holder> class LedgerFleet {
public:
  /// Creates the holder of a VM on its outbox.
  using HolderFactory = std::function<std::unique_ptr<Holder>(Outbox &)>;

  LedgerFleet(std::size_t Count, std::uint64_t Seed, HolderFactory MakeHolder)
      : MakeHolder{std::move(MakeHolder)}, Random{Seed},
        Log{Clock, Count, {}, [this](std::size_t I) { poll(I); }} {
    Vms.resize(Count);
    for (std::size_t I = 0; I < Count; ++I) {
      boot(I);
    }
  }

  [[nodiscard]] Timeline &time() noexcept { return Clock; }
  [[nodiscard]] FakeLog &log() noexcept { return Log; }
  [[nodiscard]] std::mt19937_64 &random() noexcept { return Random; }
  [[nodiscard]] std::size_t size() const noexcept { return Vms.size(); }
  [[nodiscard]] const BudgetTotals &totals(const PoolId &Name) {
    return Budgets[Name];
  }
  /// @brief The largest use of a pool beyond its total at any time.
  [[nodiscard]] Tokens overspend() const noexcept { return MaxOverspend; }
  [[nodiscard]] Tally tally() const {
    auto Result = Counts;
    Result.Appends = Log.appends();
    return Result;
  }

  /// @brief Tops up a budget as an operator.
  void topUp(const PoolId &Name, Tokens Amount) {
    Budgets[Name].Total += Amount;
    const PlanId Plan{"plan" + std::to_string(++LastPlan)};
    std::vector<Item> Items{TopUp{Name, Plan, Amount}};
    if (LastPlan == 1) {
      Items.insert(Items.begin(), Join{});
    }
    Log.append(Batch{Operators, LastPlan, std::move(Items)});
  }

  /// @brief Sends a request to a VM.
  /// @param Actual Tokens that the request uses if it completes.
  void request(std::size_t I, const PoolId &Name, Tokens Bound, Tokens Actual,
               Millis Length) {
    ++Counts.Arrived;
    auto &Node = Log.at(I);
    if (!Node.Alive) {
      ++Counts.Lost;
      return;
    }
    const auto Ticket = ++LastTicket;
    Vms[I].PendingRequests[Ticket] = {Name, Bound, Actual, Length, Clock.now()};
    apply(I, Vms[I].Admission->request(Clock.now(), Node.State, Ticket, Name,
                                       Bound));
    Log.scheduleAppend(I);
  }

  void outage(bool Unavailable) {
    for (std::size_t I = 0; I < Vms.size(); ++I) {
      Log.cut(I, Unavailable);
    }
  }

  /// @brief Kills a VM. After a delay, a new daemon starts and bills what the
  /// requests of the killed one used.
  void crash(std::size_t I, Millis RestartAfter) {
    auto &Vm = Vms[I];
    const HolderId KilledHolder = Log.at(I).Self;
    std::vector<Item> RecoveredItems;
    for (auto &[Ticket, Running] : Vm.Running) {
      const auto Used = usedSoFar(Running);
      Budgets[Running.Pool].Reserved -= Running.Bound;
      recordUse(Running.Pool, Used);
      RecoveredItems.emplace_back(
          Bill{Running.Pool, requestOf(Ticket), Used, true, KilledHolder});
    }
    RecoveredItems.insert(RecoveredItems.end(), Vm.KnownBills.begin(),
                          Vm.KnownBills.end());
    for (auto &RecoveredItem : RecoveredItems) {
      std::get<Bill>(RecoveredItem).Payer = KilledHolder;
    }
    Vm.Running.clear();
    Vm.KnownBills.clear();
    Vm.PendingRequests.clear();
    RecoveredItems.emplace_back(Settle{KilledHolder, false});
    Log.kill(I);
    Log.after(I, RestartAfter, [this, I, RecoveredItems] {
      boot(I);
      Log.after(I, SweepDelay, [this, I, RecoveredItems] {
        for (const auto &RecoveredItem : RecoveredItems) {
          Log.at(I).Pending->emplace(RecoveredItem);
        }
        Log.scheduleAppend(I);
      });
    });
  }

private:
  static constexpr Millis SweepDelay{700};

  struct Request {
    PoolId Pool;
    Tokens Bound;
    Tokens Actual;
    Millis Length;
    Instant StartTime;
  };

  struct Vm {
    std::unique_ptr<Holder> Admission;
    std::map<std::uint64_t, Request> PendingRequests; ///< By ticket.
    std::map<std::uint64_t, Request> Running;         ///< By ticket.
    /// Bills of completed streams that engines still know.
    std::vector<Item> KnownBills;
  };

  [[nodiscard]] static RequestId requestOf(std::uint64_t Ticket) {
    return RequestId{"r" + std::to_string(Ticket)};
  }

  void boot(std::size_t I) {
    Log.boot(I);
    Vms[I].Admission = MakeHolder(*Log.at(I).Pending);
  }

  void poll(std::size_t I) {
    apply(I, Vms[I].Admission->poll(Clock.now(), Log.at(I).State));
  }

  void apply(std::size_t I, const std::vector<Decision> &Decisions) {
    for (const auto &Result : Decisions) {
      const auto Ticket =
          std::visit([](const auto &D) { return D.Ticket; }, Result);
      const auto Pending = Vms[I].PendingRequests.extract(Ticket).mapped();
      if (std::holds_alternative<Admitted>(Result)) {
        begin(I, Ticket, Pending);
      } else {
        ++Counts.Refused;
        const bool Sufficient =
            Budgets[Pending.Pool].remaining() >= Pending.Bound;
        Counts.FalseRefusals += Sufficient ? 1 : 0;
      }
    }
  }

  void begin(std::size_t I, std::uint64_t Ticket, Request Accepted) {
    ++Counts.Admitted;
    Accepted.StartTime = Clock.now();
    Budgets[Accepted.Pool].Reserved += Accepted.Bound;
    Vms[I].Running[Ticket] = Accepted;
    Log.after(I, Accepted.Length, [this, I, Ticket] { end(I, Ticket); });
  }

  void end(std::size_t I, std::uint64_t Ticket) {
    const auto Accepted = Vms[I].Running.extract(Ticket).mapped();
    Budgets[Accepted.Pool].Reserved -= Accepted.Bound;
    recordUse(Accepted.Pool, Accepted.Actual);
    Vms[I].KnownBills.emplace_back(
        Bill{Accepted.Pool, requestOf(Ticket), Accepted.Actual, true, {}});
    Vms[I].Admission->settle(Clock.now(), Accepted.Pool, Accepted.Bound,
                             Accepted.Actual, requestOf(Ticket), false);
    poll(I);
    Log.scheduleAppend(I);
  }

  void recordUse(const PoolId &Name, Tokens Amount) {
    auto &Totals = Budgets[Name];
    Totals.Used += Amount;
    MaxOverspend = std::max(MaxOverspend, Totals.Used - Totals.Total);
  }

  /// @brief Tokens that a request had used when its VM was killed, in
  /// proportion to the elapsed time.
  [[nodiscard]] Tokens usedSoFar(const Request &Accepted) const {
    const auto Elapsed = Clock.now() - Accepted.StartTime;
    return Tokens{Accepted.Actual.count() * Elapsed.count() /
                  std::max<std::int64_t>(Accepted.Length.count(), 1)};
  }

  HolderFactory MakeHolder;
  std::mt19937_64 Random;
  Timeline Clock;
  FakeLog Log;
  std::vector<Vm> Vms;
  std::map<PoolId, BudgetTotals> Budgets;
  HolderId Operators{VmId{"operators"}, 1};
  std::uint64_t LastPlan = 0;
  std::uint64_t LastTicket = 0;
  Tally Counts;
  Tokens MaxOverspend;
};

} // namespace model
