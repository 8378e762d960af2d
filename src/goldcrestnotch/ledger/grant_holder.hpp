/// @file
/// Admits requests on one VM against the tokens that a ledger stream has
/// granted to it. Draws further tokens, returns those not needed, and bills the
/// spend.

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

/// @brief The request has reserved its bound and may be sent.
struct Admitted {
  std::uint64_t Ticket = 0;
};

/// @brief Why a request was not admitted.
enum class RefusalCause : std::uint8_t {
  Exhausted, ///< The remaining budget is below the bound.
  Busy,      ///< Enough tokens remain or were expected, but no grant came in
             ///< time.
  Unknown,   ///< The pool does not exist.
};

/// @brief The request was refused. This decision is final.
struct Refused {
  std::uint64_t Ticket = 0;
  RefusalCause Cause = RefusalCause::Busy;
};

using Decision = std::variant<Admitted, Refused>;

/// @brief What the configuration says about a pool that the ledger does not
/// contain.
enum class PoolCreation : std::uint8_t {
  None,    ///< Nothing creates it, so requests are refused at once.
  Pending, ///< It will be created, so requests wait for it.
};

/// @brief The time limits of a holder.
struct GrantHolderSettings {
  Millis GrantTimeout{1'500}; ///< Maximum wait of a request for a grant.
  Millis IdleTimeout{30'000}; ///< A surplus unused this long is returned.
  Millis RateWindow{60'000};  ///< Time constant of the average demand.
};

/// @brief Admits or refuses requests from this VM's grants and its copy of the
/// ledger state, without a call to another VM.
/// @tparam Sizing Policy that determines how many tokens to hold.
template <typename Sizing> class GrantHolder {
public:
  explicit GrantHolder(Outbox &Out, GrantHolderSettings Settings = {},
                       Sizing Policy = {})
      : Out{Out}, Settings{Settings}, Policy{Policy} {}

  /// @brief Granted tokens that a new request could reserve at once.
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
  /// @brief Count of requests without a decision.
  [[nodiscard]] std::size_t waiting() const noexcept {
    std::size_t Count = 0;
    for (const auto &[Name, Local] : PoolStates) {
      Count += Local.Queue.size();
    }
    return Count;
  }

  /// @brief Requests admission. The decision is returned by this call or by a
  /// later call of `request` or `poll`.
  /// @param Ticket Identifies the request in its decision.
  /// @param Bound The maximum that the request can spend.
  /// @param Creation Whether to wait for a pool that does not exist yet.
  /// @return Decisions on this request and on others of the same pool.
  [[nodiscard]] std::vector<Decision>
  request(Instant Now, const LedgerState &State, std::uint64_t Ticket,
          const PoolId &Name, Tokens Bound,
          PoolCreation Creation = PoolCreation::None) {
    auto &Local = PoolStates[Name];
    Local.Queue.push_back(
        {Ticket, Bound, Now + Settings.GrantTimeout, Creation});
    return processQueue(Now, State, Name, Local);
  }

  /// @brief Ends an admitted request.
  /// @param Bound The reserved amount.
  /// @param Spent The amount spent, capped at the bound. Zero is not billed.
  /// @param Keyed Whether the caller chose the request id and may retry the
  /// request on another VM.
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

  /// @brief Evaluates all pools after a change of the ledger state or the time:
  /// applies new grants, draws tokens, returns tokens that other holders wait
  /// for, and refuses requests past their deadline.
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
      auto Decisions = processQueue(Now, State, Name, Local);
      Result.insert(Result.end(), Decisions.begin(), Decisions.end());
      releaseSurplus(Now, State, Name, Local);
    }
    return Result;
  }

  /// @brief Makes `poll` draw from a pool before its first request.
  void track(const PoolId &Name) { PoolStates.try_emplace(Name); }

  /// @brief Returns all unreserved tokens before a shutdown.
  void returnUnused(const LedgerState &State) {
    for (auto &[Name, Local] : PoolStates) {
      returnTokens(Name, Local, available(State, Name, Local));
    }
  }

private:
  /// Demand decays without a new record, so an unchanged pool is evaluated
  /// again after this interval.
  static constexpr Millis RecheckInterval{1'000};

  /// @brief A request that waits for a grant.
  struct Waiter {
    std::uint64_t Ticket = 0;
    Tokens Bound;
    Instant Deadline;
    PoolCreation Creation = PoolCreation::None;
  };

  /// @brief This holder's state of one pool.
  struct PoolState {
    Tokens Reserved;          ///< Bounds of requests in progress.
    std::deque<Waiter> Queue; ///< Requests without a grant, oldest first.
    /// Bills and returns, with the sequence numbers of their batches, that the
    /// ledger state does not contain yet.
    std::vector<std::pair<std::uint64_t, Tokens>> UnappliedDebits;
    std::uint64_t DrawSequence = 0;        ///< The batch of the last draw.
    Tokens DrawMinimum;                    ///< The minimum of the last draw.
    Instant IdleDeadline = Instant::max(); ///< When to return the surplus.
    double DemandRate = 0; ///< Tokens per second at `DemandTime`.
    Instant DemandTime{};  ///< When a spend was last observed.
    /// The pool's `ChangeOffset` at the last evaluation.
    std::uint64_t LastChangeOffset = 0;
    /// When to evaluate the pool again although it has not changed.
    Instant RecheckDeadline{};
  };

  /// @brief The grant without reserved tokens and unapplied debits.
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

  /// @brief Admits or refuses queued requests, then draws if tokens are short.
  [[nodiscard]] std::vector<Decision> processQueue(Instant Now,
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

  /// @brief Why to refuse a queued request now, or nothing if it may wait.
  [[nodiscard]] std::optional<RefusalCause>
  refusalCause(Instant Now, const LedgerState &State, const PoolId &Name,
               const Waiter &Request) const {
    const auto *Balance = State.find(Name);
    if (Balance == nullptr && Request.Creation == PoolCreation::None) {
      return RefusalCause::Unknown;
    }
    if (Balance != nullptr && Balance->remaining() < Request.Bound) {
      return RefusalCause::Exhausted;
    }
    return Now >= Request.Deadline ? std::optional{RefusalCause::Busy}
                                   : std::nullopt;
  }

  /// @brief Draws tokens for queued requests or, below half of the desired
  /// holding, ahead of demand. At most one draw per pool is in flight.
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
      return; // Withdraws the pending draw of a request that has ended.
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

  /// @brief Whether a pool can be skipped because neither it nor its requests
  /// have changed since the last evaluation. If not, marks it as evaluated.
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

  /// @brief Whether the ledger state does not contain the last draw yet.
  [[nodiscard]] bool drawInFlight(const LedgerState &State,
                                  const PoolState &Local) const noexcept {
    return Local.DrawSequence > State.sequence(Out.self());
  }

  /// @brief The sum of the bounds of queued requests.
  [[nodiscard]] static Tokens queuedBounds(const PoolState &Local) {
    Tokens Sum;
    for (const auto &Request : Local.Queue) {
      Sum += Request.Bound;
    }
    return Sum;
  }

  /// @brief This holder's pending draw on a pool, or null.
  [[nodiscard]] const PendingDraw *pendingDraw(const Pool &Balance) const {
    for (const auto &Pending : Balance.PendingDraws) {
      if (Pending.Holder == Out.self()) {
        return &Pending;
      }
    }
    return nullptr;
  }

  /// @brief Returns tokens at once if the pool is overdrawn or another holder's
  /// draw is pending ahead of this holder's own. Otherwise returns a surplus
  /// once it has been idle.
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

  /// @brief Returns what exceeds twice the desired holding after `IdleTimeout`.
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

  /// @brief Appends a return and deducts it from the available tokens.
  void returnTokens(const PoolId &Name, PoolState &Local, Tokens Amount,
                    Urgency Priority = Urgency::Immediate) {
    if (Amount > Tokens{0}) {
      Local.UnappliedDebits.emplace_back(
          Out.emplace(Return{Name, Amount}, Priority), Amount);
    }
  }

  /// @brief Adds a spend to the average demand.
  void observeSpend(PoolState &Local, Instant Now, Tokens Spent) {
    Local.DemandRate = demandRate(Local, Now);
    Local.DemandTime = Now;
    const std::chrono::duration<double> Window{Settings.RateWindow};
    Local.DemandRate += static_cast<double>(Spent.count()) / Window.count();
  }

  /// @brief The average demand now. It decays exponentially with the time
  /// constant `RateWindow`.
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
