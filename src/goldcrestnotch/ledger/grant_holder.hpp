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

/// @brief Times of a holder.
struct GrantHolderSettings {
  Millis Wait{1'500};        ///< Longest that a request waits for a grant.
  Millis Idle{30'000};       ///< Unused this long, a surplus is given back.
  Millis RateWindow{60'000}; ///< Over which demand is averaged.
};

/// @brief Decides on requests from grants alone; asks nobody.
/// @tparam Sizing How much to hold.
template <typename Sizing> class GrantHolder {
public:
  explicit GrantHolder(Outbox &Out, GrantHolderSettings Times = {},
                       Sizing Size = {})
      : Out{Out}, Times{Times}, Size{Size} {}

  /// @brief Tokens that a new request could reserve at once.
  [[nodiscard]] Tokens available(const LedgerState &Source,
                                 const PoolId &Name) const {
    const auto It = Desks.find(Name);
    return It == Desks.end() ? Tokens{} : available(Source, Name, It->second);
  }
  /// @brief Tokens reserved by requests in progress.
  [[nodiscard]] Tokens reserved(const PoolId &Name) const {
    const auto It = Desks.find(Name);
    return It == Desks.end() ? Tokens{} : It->second.Reserved;
  }
  [[nodiscard]] std::size_t waiting() const noexcept {
    std::size_t Count = 0;
    for (const auto &[Name, Desk] : Desks) {
      Count += Desk.Queue.size();
    }
    return Count;
  }

  /// @brief Asks to admit a request; the answer comes from this call or a
  /// later one.
  /// @param Bound The most that the request can spend.
  [[nodiscard]] std::vector<Decision>
  request(Instant Now, const LedgerState &Source, std::uint64_t Ticket,
          const PoolId &Name, Tokens Bound) {
    auto &Desk = Desks[Name];
    Desk.Queue.push_back({Ticket, Bound, Now + Times.Wait});
    return serve(Now, Source, Name, Desk);
  }

  /// @brief Ends an admitted request.
  /// @param Bound What was reserved.
  /// @param Spent What it spent, at most the bound; nothing is billed for zero.
  void settle(Instant Now, const PoolId &Name, Tokens Bound, Tokens Spent,
              const RequestId &Request, bool Keyed) {
    auto &Desk = Desks[Name];
    Desk.Reserved -= Bound;
    Spent = std::min(Spent, Bound);
    if (Spent > Tokens{0}) {
      const auto Sequence =
          Out.emplace(Bill{Name, Request, Spent, Keyed, {}}, Urgency::Lazy);
      Desk.Unreported.emplace_back(Sequence, Spent);
      note(Desk, Now, Spent);
    }
  }

  /// @brief Takes a book's news in: grants, shortages of others, deadlines.
  [[nodiscard]] std::vector<Decision> poll(Instant Now,
                                           const LedgerState &Source) {
    const auto Kept = Source.sequence(Out.self());
    Out.acknowledge(Kept);
    std::vector<Decision> Result;
    for (auto &[Name, Desk] : Desks) {
      std::erase_if(Desk.Unreported,
                    [&](const auto &Sent) { return Sent.first <= Kept; });
      if (settled(Now, Source, Name, Desk)) {
        continue;
      }
      auto Some = serve(Now, Source, Name, Desk);
      Result.insert(Result.end(), Some.begin(), Some.end());
      yieldSurplus(Now, Source, Name, Desk);
    }
    return Result;
  }

  /// @brief Draws on a pool ahead of the first request.
  void open(const PoolId &Name) { Desks.try_emplace(Name); }

  /// @brief Gives back all that is not reserved, before a shutdown.
  void surrender(const LedgerState &Source) {
    for (auto &[Name, Desk] : Desks) {
      giveBack(Name, Desk, available(Source, Name, Desk));
    }
  }

private:
  /// Demand fades without a record, so each pool is looked at this often.
  static constexpr Millis LookEvery{1'000};

  struct Waiter {
    std::uint64_t Ticket = 0;
    Tokens Bound;
    Instant Deadline;
  };

  /// @brief One pool as this holder sees it.
  struct Desk {
    Tokens Reserved;          ///< Bounds of requests in progress.
    std::deque<Waiter> Queue; ///< Requests without a grant, oldest first.
    std::vector<std::pair<std::uint64_t, Tokens>> Unreported; ///< By sequence.
    std::uint64_t DrawSequence = 0;        ///< Of the last draw.
    Tokens DrawFloor;                      ///< Of the last draw.
    Instant IdleDeadline = Instant::max(); ///< When a surplus goes back.
    double Rate = 0;                       ///< Tokens a second.
    Instant RateTime{};
    std::uint64_t Seen = 0; ///< The pool's `Changed` at the last look.
    Instant LookDeadline{}; ///< When to look again though nothing changed.
  };

  [[nodiscard]] Tokens available(const LedgerState &Source, const PoolId &Name,
                                 const Desk &At) const {
    const auto *Found = Source.find(Name);
    if (Found == nullptr) {
      return Tokens{};
    }
    Tokens Left = Found->granted(Out.self()) - At.Reserved;
    const auto Kept = Source.sequence(Out.self());
    for (const auto &[Sequence, Amount] : At.Unreported) {
      Left -= Sequence > Kept ? Amount : Tokens{};
    }
    return Left;
  }

  [[nodiscard]] std::vector<Decision>
  serve(Instant Now, const LedgerState &Source, const PoolId &Name, Desk &At) {
    std::vector<Decision> Result;
    auto Free = available(Source, Name, At);
    std::erase_if(At.Queue, [&](const Waiter &One) {
      if (One.Bound <= Free) {
        Free -= One.Bound;
        At.Reserved += One.Bound;
        Result.emplace_back(Admitted{One.Ticket});
        return true;
      }
      if (const auto Cause = refusal(Now, Source, Name, One)) {
        Result.emplace_back(Refused{One.Ticket, *Cause});
        return true;
      }
      return false;
    });
    draw(Now, Source, Name, At, Free);
    return Result;
  }

  [[nodiscard]] std::optional<RefusalCause> refusal(Instant Now,
                                                    const LedgerState &Source,
                                                    const PoolId &Name,
                                                    const Waiter &One) const {
    const auto *Found = Source.find(Name);
    if (Found == nullptr) {
      return RefusalCause::Unknown;
    }
    if (Found->remaining() < One.Bound) {
      return RefusalCause::Exhausted;
    }
    return Now >= One.Deadline ? std::optional{RefusalCause::Busy}
                               : std::nullopt;
  }

  void draw(Instant Now, const LedgerState &Source, const PoolId &Name,
            Desk &At, Tokens Free) {
    const auto *Found = Source.find(Name);
    if (Found == nullptr) {
      return;
    }
    if (pending(Source, At)) {
      if (!At.Queue.empty()) {
        Out.hurry();
      }
      return;
    }
    const Tokens Need = needed(At);
    const Tokens First = At.Queue.empty() ? Tokens{} : At.Queue.front().Bound;
    const Tokens Floor = std::max(First - Free, Tokens{0});
    const Tokens Target =
        Size.target({*Found, rate(At, Now), Source.size(), At.Reserved});
    const bool Low = Free + At.Reserved < Target / 2;
    const bool Waits = shortage(*Found) != nullptr;
    const bool Changed = !Waits || shortage(*Found)->Floor != Floor;
    const bool Grantable = Low && Found->free() > Tokens{0} &&
                           Found->Short.empty() && Floor == Tokens{0};
    if (Waits && At.Queue.empty()) {
      At.DrawSequence = Out.emplace(Draw{Name, Tokens{}, Tokens{}});
      return; // The request that was short is gone; let others have it.
    }
    if ((Floor > Tokens{0} && Changed) || Grantable) {
      const Tokens Want =
          std::max({Target - Free - At.Reserved, Need - Free, Floor});
      At.DrawSequence =
          Out.emplace(Draw{Name, Want, Floor},
                      Floor > Tokens{0} ? Urgency::Now : Urgency::Lazy);
      At.DrawFloor = Floor;
    }
  }

  /// @brief Whether nothing has happened to a pool since the last look.
  [[nodiscard]] static bool settled(Instant Now, const LedgerState &Source,
                                    const PoolId &Name, Desk &At) {
    const auto *Found = Source.find(Name);
    const auto Changed = Found == nullptr ? 0 : Found->Changed;
    if (Changed == At.Seen && At.Queue.empty() && At.Unreported.empty() &&
        Now < At.LookDeadline) {
      return true;
    }
    At.Seen = Changed;
    At.LookDeadline = Now + LookEvery;
    return false;
  }

  [[nodiscard]] bool pending(const LedgerState &Source,
                             const Desk &At) const noexcept {
    return At.DrawSequence > Source.sequence(Out.self());
  }

  [[nodiscard]] static Tokens needed(const Desk &At) {
    Tokens Need;
    for (const auto &One : At.Queue) {
      Need += One.Bound;
    }
    return Need;
  }

  [[nodiscard]] const Shortage *shortage(const Pool &Source) const {
    for (const auto &One : Source.Short) {
      if (One.Holder == Out.self()) {
        return &One;
      }
    }
    return nullptr;
  }

  /// @brief Helps others that are short; then, after a while, drops a surplus.
  void yieldSurplus(Instant Now, const LedgerState &Source, const PoolId &Name,
                    Desk &At) {
    const auto *Found = Source.find(Name);
    if (Found == nullptr) {
      return;
    }
    Tokens Short = std::max(Tokens{} - Found->free(), Tokens{});
    for (const auto &One : Found->Short) {
      if (One.Holder == Out.self()) {
        break;
      }
      Short += One.Floor;
    }
    const Tokens Free = available(Source, Name, At);
    if (Short > Tokens{0}) {
      giveBack(Name, At, std::min(Free, Short));
      return;
    }
    dropIdle(Now, *Found, Source, Name, At, Free);
  }

  void dropIdle(Instant Now, const Pool &Found, const LedgerState &Source,
                const PoolId &Name, Desk &At, Tokens Free) {
    const Tokens Target =
        Size.target({Found, rate(At, Now), Source.size(), At.Reserved});
    const Tokens Surplus = Free + At.Reserved - Target * 2;
    if (Surplus <= Tokens{0} || !At.Queue.empty()) {
      At.IdleDeadline = Instant::max();
      return;
    }
    if (At.IdleDeadline == Instant::max()) {
      At.IdleDeadline = Now + Times.Idle;
    }
    if (Now >= At.IdleDeadline) {
      giveBack(Name, At, std::min(Free, Surplus), Urgency::Lazy);
      At.IdleDeadline = Instant::max();
    }
  }

  void giveBack(const PoolId &Name, Desk &At, Tokens Amount,
                Urgency When = Urgency::Now) {
    if (Amount > Tokens{0}) {
      At.Unreported.emplace_back(Out.emplace(Return{Name, Amount}, When),
                                 Amount);
    }
  }

  void note(Desk &At, Instant Now, Tokens Spent) {
    At.Rate = rate(At, Now);
    At.RateTime = Now;
    const std::chrono::duration<double> Window{Times.RateWindow};
    At.Rate += static_cast<double>(Spent.count()) / Window.count();
  }

  [[nodiscard]] double rate(const Desk &At, Instant Now) const {
    const std::chrono::duration<double> Age{Now - At.RateTime};
    const std::chrono::duration<double> Window{Times.RateWindow};
    return At.Rate * std::exp(-Age / Window);
  }

  Outbox &Out;
  GrantHolderSettings Times;
  Sizing Size;
  std::map<PoolId, Desk> Desks;
};

} // namespace goldcrestnotch
