/// @file
/// A model of budgets in virtual time: VMs with their real holders around a
/// fake log. Engines and callers are reduced to what budgets see of them, and
/// an all-knowing counter judges each refusal.

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

/// @brief What came of the requests of a run.
struct Tally {
  std::uint64_t Arrived = 0;
  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
  std::uint64_t FalselyRefused = 0; ///< Enough remained, all-knowing.
  std::uint64_t Lost = 0;           ///< Arrived at a dead VM.
  std::uint64_t Appends = 0;
};

/// @brief A budget as an all-knowing counter sees it.
struct Truth {
  Tokens Total;    ///< Topped up so far.
  Tokens Used;     ///< Generated so far, billed or not.
  Tokens Reserved; ///< Bounds of requests in progress.

  [[nodiscard]] Tokens remaining() const noexcept {
    return Total - Used - Reserved;
  }
};

/// @brief The fleet.
/// @tparam Desk Decides on requests; has the members of `GrantHolder`.
template <typename Desk> class LedgerFleet {
public:
  /// Makes a VM's desk around its journal.
  using Maker = std::function<std::unique_ptr<Desk>(Outbox &)>;

  LedgerFleet(std::size_t Count, std::uint64_t Seed, Maker Make)
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
  [[nodiscard]] std::size_t size() const noexcept { return Vms.size(); }
  [[nodiscard]] const Truth &truth(const PoolId &Name) { return Truths[Name]; }
  /// @brief The most that was ever used of a pool beyond its total.
  [[nodiscard]] Tokens overspend() const noexcept { return Overspent; }
  [[nodiscard]] Tally tally() const {
    auto Result = Counts;
    Result.Appends = Log.appends();
    return Result;
  }

  /// @brief An operator adds to a budget.
  void topUp(const PoolId &Name, Tokens Amount) {
    Truths[Name].Total += Amount;
    const PlanId Plan{"plan" + std::to_string(++Plans)};
    std::vector<Item> Items{TopUp{Name, Plan, Amount}};
    if (Plans == 1) {
      Items.insert(Items.begin(), Join{});
    }
    Log.enter(Batch{Operators, Plans, std::move(Items)});
  }

  /// @brief A request arrives at a VM.
  /// @param Actual What it uses if it runs to its end.
  void request(std::size_t I, const PoolId &Name, Tokens Bound, Tokens Actual,
               Millis Length) {
    ++Counts.Arrived;
    auto &Node = Log.at(I);
    if (!Node.Alive) {
      ++Counts.Lost;
      return;
    }
    const auto Ticket = ++Tickets;
    Vms[I].Asked[Ticket] = {Name, Bound, Actual, Length, Clock.now()};
    tell(I, Vms[I].Own->request(Clock.now(), Node.Fold, Ticket, Name, Bound));
    Log.kick(I);
  }

  void outage(bool Down) {
    for (std::size_t I = 0; I < Vms.size(); ++I) {
      Log.cut(I, Down);
    }
  }

  /// @brief Kills a VM; a new daemon starts after a while and sweeps.
  void crash(std::size_t I, Millis RestartAfter) {
    auto &Vm = Vms[I];
    const HolderId Dead = Log.at(I).Self;
    std::vector<Item> Swept;
    for (auto &[Ticket, One] : Vm.Running) {
      const auto Used = portion(One);
      Truths[One.Pool].Reserved -= One.Bound;
      use(One.Pool, Used);
      Swept.emplace_back(Bill{One.Pool, requestOf(Ticket), Used, true, Dead});
    }
    Swept.insert(Swept.end(), Vm.Ended.begin(), Vm.Ended.end());
    for (auto &One : Swept) {
      std::get<Bill>(One).Payer = Dead;
    }
    Vm.Running.clear();
    Vm.Ended.clear();
    Vm.Asked.clear();
    Swept.emplace_back(Settle{Dead, false});
    Log.kill(I);
    Log.after(I, RestartAfter, [this, I, Swept] {
      boot(I);
      Log.after(I, SweepDelay, [this, I, Swept] {
        for (const auto &One : Swept) {
          Log.at(I).Out->emplace(One);
        }
        Log.kick(I);
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
    Instant Begun;
  };

  struct Vm {
    std::unique_ptr<Desk> Own;
    std::map<std::uint64_t, Request> Asked;   ///< By ticket.
    std::map<std::uint64_t, Request> Running; ///< By ticket.
    std::vector<Item> Ended; ///< Bills of streams that engines still know.
  };

  [[nodiscard]] static RequestId requestOf(std::uint64_t Ticket) {
    return RequestId{"r" + std::to_string(Ticket)};
  }

  void boot(std::size_t I) {
    Log.boot(I);
    Vms[I].Own = Make(*Log.at(I).Out);
  }

  void poll(std::size_t I) {
    tell(I, Vms[I].Own->poll(Clock.now(), Log.at(I).Fold));
  }

  void tell(std::size_t I, const std::vector<Decision> &Some) {
    for (const auto &One : Some) {
      const auto Ticket =
          std::visit([](const auto &D) { return D.Ticket; }, One);
      const auto Asked = Vms[I].Asked.extract(Ticket).mapped();
      if (std::holds_alternative<Admitted>(One)) {
        begin(I, Ticket, Asked);
      } else {
        ++Counts.Refused;
        const bool Enough = Truths[Asked.Pool].remaining() >= Asked.Bound;
        Counts.FalselyRefused += Enough ? 1 : 0;
      }
    }
  }

  void begin(std::size_t I, std::uint64_t Ticket, Request One) {
    ++Counts.Admitted;
    One.Begun = Clock.now();
    Truths[One.Pool].Reserved += One.Bound;
    Vms[I].Running[Ticket] = One;
    Log.after(I, One.Length, [this, I, Ticket] { end(I, Ticket); });
  }

  void end(std::size_t I, std::uint64_t Ticket) {
    const auto One = Vms[I].Running.extract(Ticket).mapped();
    Truths[One.Pool].Reserved -= One.Bound;
    use(One.Pool, One.Actual);
    Vms[I].Ended.emplace_back(
        Bill{One.Pool, requestOf(Ticket), One.Actual, true, {}});
    Vms[I].Own->settle(Clock.now(), One.Pool, One.Bound, One.Actual,
                       requestOf(Ticket), false);
    poll(I);
    Log.kick(I);
  }

  void use(const PoolId &Name, Tokens Amount) {
    auto &At = Truths[Name];
    At.Used += Amount;
    Overspent = std::max(Overspent, At.Used - At.Total);
  }

  /// @brief What a request had used when its VM died.
  [[nodiscard]] Tokens portion(const Request &One) const {
    const auto Passed = Clock.now() - One.Begun;
    return Tokens{One.Actual.count() * Passed.count() /
                  std::max<std::int64_t>(One.Length.count(), 1)};
  }

  Maker Make;
  std::mt19937_64 Random;
  Timeline Clock;
  FakeLog Log;
  std::vector<Vm> Vms;
  std::map<PoolId, Truth> Truths;
  HolderId Operators{VmId{"operators"}, 1};
  std::uint64_t Plans = 0;
  std::uint64_t Tickets = 0;
  Tally Counts;
  Tokens Overspent;
};

} // namespace model
