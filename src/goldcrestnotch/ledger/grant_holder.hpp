/// @file
/// A VM's side of a ledger stream: admits requests against its grants, asks
/// for more, gives back what it does not need, and reports spend.

#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/ledger/fwd.hpp"
#include "goldcrestnotch/ledger/ledger_state.hpp"
#include "goldcrestnotch/ledger/outbox.hpp"
#include "goldcrestnotch/ledger/sizing.hpp"

namespace goldcrestnotch {

/// @brief The request holds its bound and may be sent.
struct Admitted {
  std::uint64_t Ticket = 0;
};

/// @brief Why a request was not admitted.
enum class RefusalCause : std::uint8_t {
  Exhausted, ///< All that remains of the budget is less than the bound.
  Busy,      ///< Enough remains, but elsewhere, and none came in time.
  Unknown,   ///< No such pool.
};

/// @brief The request was not admitted and will not be.
struct Refused {
  std::uint64_t Ticket = 0;
  RefusalCause Cause = RefusalCause::Busy;
};

using Decision = std::variant<Admitted, Refused>;

/// @brief Settings of a holder.
struct GrantHolderSettings {
  Millis GrantTimeout{1'500}; ///< Longest that a request waits for a grant.
  Millis IdleTimeout{30'000}; ///< Unused this long, a surplus is given back.
  Millis RateWindow{60'000};  ///< Over which demand is averaged.
};

/// @brief Decides on requests from grants alone; asks nobody.
/// @tparam Sizing How much to hold.
template <typename Sizing> class GrantHolder {
public:
  explicit GrantHolder(Outbox &Out, GrantHolderSettings Settings = {},
                       Sizing Policy = {})
      : Out{Out}, Settings{Settings}, Policy{Policy} {}

  /// @brief Tokens that a new request could reserve at once.
  [[nodiscard]] Tokens available(const LedgerState &State,
                                 const PoolId &Name) const {
    const auto It = PoolStates.find(Name);
    return It == PoolStates.end() ? Tokens{}
                                  : available(State, Name, It->second);
  }
  /// @brief Tokens reserved by requests in progress.
  [[nodiscard]] Tokens reserved(const PoolId &Name) const {
    const auto It = PoolStates.find(Name);
    return It == PoolStates.end() ? Tokens{} : It->second.Reserved;
  }
  [[nodiscard]] std::size_t waiting() const noexcept {
    std::size_t Count = 0;
    for (const auto &[Name, Local] : PoolStates) {
      Count += Local.Queue.size();
    }
    return Count;
  }

  /// @brief Asks to admit a request; the answer comes from this call or a
  /// later one.
  /// @param Bound The most that the request can spend.
  [[nodiscard]] std::vector<Decision>
  request(Instant Now, const LedgerState &State, std::uint64_t Ticket,
          const PoolId &Name, Tokens Bound) {
    auto &Local = PoolStates[Name];
    Local.Queue.push_back({Ticket, Bound, Now + Settings.GrantTimeout});
    return serve(Now, State, Name, Local);
  }

  /// @brief Ends an admitted request.
  /// @param Bound What was reserved.
  /// @param Spent What it spent, at most the bound; nothing is billed for zero.
  void settle(Instant Now, const PoolId &Name, Tokens Bound, Tokens Spent,
              const RequestId &Request, bool Keyed) {
    auto &Local = PoolStates[Name];
    Local.Reserved -= Bound;
    Spent = std::min(Spent, Bound);
    if (Spent > Tokens{0}) {
      const auto Sequence =
          Out.emplace(Bill{Name, Request, Spent, Keyed, {}}, Urgency::Deferred);
      Local.UnappliedDebits.emplace_back(Sequence, Spent);
      observeSpend(Local, Now, Spent);
    }
  }

  /// @brief Takes a book's news in: grants, shortages of others, deadlines.
  [[nodiscard]] std::vector<Decision> poll(Instant Now,
                                           const LedgerState &State) {
    const auto AppliedSequence = State.sequence(Out.self());
    Out.acknowledge(AppliedSequence);
    std::vector<Decision> Result;
    for (auto &[Name, Local] : PoolStates) {
      std::erase_if(Local.UnappliedDebits, [&](const auto &Sent) {
        return Sent.first <= AppliedSequence;
      });
      if (unchanged(Now, State, Name, Local)) {
        continue;
      }
      auto Decisions = serve(Now, State, Name, Local);
      Result.insert(Result.end(), Decisions.begin(), Decisions.end());
      releaseSurplus(Now, State, Name, Local);
    }
    return Result;
  }

  /// @brief Draws on a pool ahead of the first request.
  void track(const PoolId &Name) { PoolStates.try_emplace(Name); }

  /// @brief Gives back all that is not reserved, before a shutdown.
  void returnUnused(const LedgerState &State) {
    for (auto &[Name, Local] : PoolStates) {
      returnTokens(Name, Local, available(State, Name, Local));
    }
  }

private:
  /// Demand fades without a record, so each pool is looked at this often.
  static constexpr Millis RecheckInterval{1'000};

  struct Waiter {
    std::uint64_t Ticket = 0;
    Tokens Bound;
    Instant Deadline;
  };

  /// @brief One pool as this holder sees it.
  struct PoolState {
    Tokens Reserved;          ///< Bounds of requests in progress.
    std::deque<Waiter> Queue; ///< Requests without a grant, oldest first.
    std::vector<std::pair<std::uint64_t, Tokens>>
        UnappliedDebits;                   ///< By sequence.
    std::uint64_t DrawSequence = 0;        ///< Of the last draw.
    Tokens DrawMinimum;                    ///< Of the last draw.
    Instant IdleDeadline = Instant::max(); ///< When a surplus goes back.
    double DemandRate = 0;                 ///< Tokens a second.
    Instant DemandTime{};
    std::uint64_t LastChangeOffset =
        0;                     ///< The pool's `Changed` at the last look.
    Instant RecheckDeadline{}; ///< When to look again though nothing changed.
  };

  [[nodiscard]] Tokens available(const LedgerState &State, const PoolId &Name,
                                 const PoolState &Local) const {
    const auto *Balance = State.find(Name);
    if (Balance == nullptr) {
      return Tokens{};
    }
    Tokens Available = Balance->granted(Out.self()) - Local.Reserved;
    const auto AppliedSequence = State.sequence(Out.self());
    for (const auto &[Sequence, Amount] : Local.UnappliedDebits) {
      Available -= Sequence > AppliedSequence ? Amount : Tokens{};
    }
    return Available;
  }

  [[nodiscard]] std::vector<Decision> serve(Instant Now,
                                            const LedgerState &State,
                                            const PoolId &Name,
                                            PoolState &Local) {
    std::vector<Decision> Result;
    auto Free = available(State, Name, Local);
    std::erase_if(Local.Queue, [&](const Waiter &Request) {
      if (Request.Bound <= Free) {
        Free -= Request.Bound;
        Local.Reserved += Request.Bound;
        Result.emplace_back(Admitted{Request.Ticket});
        return true;
      }
      if (const auto Cause = refusalCause(Now, State, Name, Request)) {
        Result.emplace_back(Refused{Request.Ticket, *Cause});
        return true;
      }
      return false;
    });
    draw(Now, State, Name, Local, Free);
    return Result;
  }

  [[nodiscard]] std::optional<RefusalCause>
  refusalCause(Instant Now, const LedgerState &State, const PoolId &Name,
               const Waiter &Request) const {
    const auto *Balance = State.find(Name);
    if (Balance == nullptr) {
      return RefusalCause::Unknown;
    }
    if (Balance->remaining() < Request.Bound) {
      return RefusalCause::Exhausted;
    }
    return Now >= Request.Deadline ? std::optional{RefusalCause::Busy}
                                   : std::nullopt;
  }

  void draw(Instant Now, const LedgerState &State, const PoolId &Name,
            PoolState &Local, Tokens Free) {
    const auto *Balance = State.find(Name);
    if (Balance == nullptr) {
      return;
    }
    if (drawInFlight(State, Local)) {
      if (!Local.Queue.empty()) {
        Out.expedite();
      }
      return;
    }
    const Tokens Queued = queuedBounds(Local);
    const Tokens FirstBound =
        Local.Queue.empty() ? Tokens{} : Local.Queue.front().Bound;
    const Tokens Minimum = std::max(FirstBound - Free, Tokens{0});
    const Tokens Desired =
        Policy.desiredHolding({*Balance, demandRate(Local, Now),
                               State.holderCount(), Local.Reserved});
    const bool BelowHalf = Free + Local.Reserved < Desired / 2;
    const bool HasPendingDraw = pendingDraw(*Balance) != nullptr;
    const bool Changed =
        !HasPendingDraw || pendingDraw(*Balance)->Minimum != Minimum;
    const bool DrawAhead = BelowHalf && Balance->free() > Tokens{0} &&
                           Balance->PendingDraws.empty() &&
                           Minimum == Tokens{0};
    if (HasPendingDraw && Local.Queue.empty()) {
      Local.DrawSequence = Out.emplace(Draw{Name, Tokens{}, Tokens{}});
      return; // The request that was short is gone; let others have it.
    }
    if ((Minimum > Tokens{0} && Changed) || DrawAhead) {
      const Tokens Requested =
          std::max({Desired - Free - Local.Reserved, Queued - Free, Minimum});
      Local.DrawSequence = Out.emplace(Draw{Name, Requested, Minimum},
                                       Minimum > Tokens{0} ? Urgency::Immediate
                                                           : Urgency::Deferred);
      Local.DrawMinimum = Minimum;
    }
  }

  /// @brief Whether nothing has happened to a pool since the last look.
  [[nodiscard]] static bool unchanged(Instant Now, const LedgerState &State,
                                      const PoolId &Name, PoolState &Local) {
    const auto *Balance = State.find(Name);
    const auto Changed = Balance == nullptr ? 0 : Balance->ChangeOffset;
    if (Changed == Local.LastChangeOffset && Local.Queue.empty() &&
        Local.UnappliedDebits.empty() && Now < Local.RecheckDeadline) {
      return true;
    }
    Local.LastChangeOffset = Changed;
    Local.RecheckDeadline = Now + RecheckInterval;
    return false;
  }

  [[nodiscard]] bool drawInFlight(const LedgerState &State,
                                  const PoolState &Local) const noexcept {
    return Local.DrawSequence > State.sequence(Out.self());
  }

  [[nodiscard]] static Tokens queuedBounds(const PoolState &Local) {
    Tokens Sum;
    for (const auto &Request : Local.Queue) {
      Sum += Request.Bound;
    }
    return Sum;
  }

  [[nodiscard]] const PendingDraw *pendingDraw(const Pool &Balance) const {
    for (const auto &Pending : Balance.PendingDraws) {
      if (Pending.Holder == Out.self()) {
        return &Pending;
      }
    }
    return nullptr;
  }

  /// @brief Helps others that are short; then, after a while, drops a surplus.
  void releaseSurplus(Instant Now, const LedgerState &State, const PoolId &Name,
                      PoolState &Local) {
    const auto *Balance = State.find(Name);
    if (Balance == nullptr) {
      return;
    }
    Tokens Shortfall = std::max(Tokens{} - Balance->free(), Tokens{});
    for (const auto &Pending : Balance->PendingDraws) {
      if (Pending.Holder == Out.self()) {
        break;
      }
      Shortfall += Pending.Minimum;
    }
    const Tokens Free = available(State, Name, Local);
    if (Shortfall > Tokens{0}) {
      returnTokens(Name, Local, std::min(Free, Shortfall));
      return;
    }
    returnIdle(Now, *Balance, State, Name, Local, Free);
  }

  void returnIdle(Instant Now, const Pool &Balance, const LedgerState &State,
                  const PoolId &Name, PoolState &Local, Tokens Free) {
    const Tokens Desired = Policy.desiredHolding(
        {Balance, demandRate(Local, Now), State.holderCount(), Local.Reserved});
    const Tokens Surplus = Free + Local.Reserved - Desired * 2;
    if (Surplus <= Tokens{0} || !Local.Queue.empty()) {
      Local.IdleDeadline = Instant::max();
      return;
    }
    if (Local.IdleDeadline == Instant::max()) {
      Local.IdleDeadline = Now + Settings.IdleTimeout;
    }
    if (Now >= Local.IdleDeadline) {
      returnTokens(Name, Local, std::min(Free, Surplus), Urgency::Deferred);
      Local.IdleDeadline = Instant::max();
    }
  }

  void returnTokens(const PoolId &Name, PoolState &Local, Tokens Amount,
                    Urgency Priority = Urgency::Immediate) {
    if (Amount > Tokens{0}) {
      Local.UnappliedDebits.emplace_back(
          Out.emplace(Return{Name, Amount}, Priority), Amount);
    }
  }

  void observeSpend(PoolState &Local, Instant Now, Tokens Spent) {
    Local.DemandRate = demandRate(Local, Now);
    Local.DemandTime = Now;
    const std::chrono::duration<double> Window{Settings.RateWindow};
    Local.DemandRate += static_cast<double>(Spent.count()) / Window.count();
  }

  [[nodiscard]] double demandRate(const PoolState &Local, Instant Now) const {
    const std::chrono::duration<double> Age{Now - Local.DemandTime};
    const std::chrono::duration<double> Window{Settings.RateWindow};
    return Local.DemandRate * std::exp(-Age / Window);
  }

  Outbox &Out;
  GrantHolderSettings Settings;
  Sizing Policy;
  std::map<PoolId, PoolState> PoolStates;
};

} // namespace goldcrestnotch
