/// @file
/// Admits requests against token budgets. A request that finds too few tokens
/// waits briefly if a loan or a write to the store may bring enough.

#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include "goldcrestnotch/escrow/shards.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch::escrow {

/// @brief Result of an attempt to borrow tokens from other VMs.
enum class LoanResult : std::uint8_t {
  Given,     ///< The bound is covered, and some VMs lent tokens.
  Busy,      ///< Another request is borrowing for the same workspace.
  Nothing,   ///< Too few tokens were lent, or none were needed any more.
  NotTried,  ///< A recent attempt to borrow as much failed; nobody was asked.
  Exhausted, ///< The whole budget has fewer tokens left than the bound.
};

/// @brief Access to the token holders for the coroutines of one thread.
class AdmissionGate {
public:
  /// @param RequestWrite Called to ask for a write to the store soon.
  /// @param IsStoreUp Tells whether the store could be written now.
  AdmissionGate(boost::asio::io_context &Loop, Shards &Partitions,
                std::function<void(const WorkspaceId &)> RequestWrite,
                std::function<bool()> IsStoreUp)
      : Partitions{Partitions}, Changed{Loop},
        RequestWrite{std::move(RequestWrite)}, IsStoreUp{std::move(IsStoreUp)} {
    Changed.expires_at(boost::asio::steady_timer::time_point::max());
  }

  /// @brief Reserves a bound. If too few tokens are held, a VM that prefetches
  /// for the workspace first waits briefly for a draw. The request then borrows
  /// from other VMs, and waits for the store if a write could bring enough.
  /// @param Deadline When to give up.
  [[nodiscard]] Admission admit(boost::asio::yield_context Yield,
                                const WorkspaceId &Workspace, Tokens Budget,
                                Tokens Bound, Instant Deadline) {
    if (!Partitions.opened()) {
      return Admission::Short;
    }
    const TokenRequest Request{Workspace, Budget, Bound, Deadline};
    auto Result = reserve(Request);
    if (Result == Admission::Short &&
        shardOf(Request).Holder.prefetches(Workspace)) {
      requestDraw(Request);
      waitForChange(Yield,
                    std::min(Deadline, DecisionClock::now() + StoreTimeout));
      Result = reserve(Request);
    }
    while (Result == Admission::Short) {
      const auto Loan = borrow(Yield, Request);
      if (Loan == LoanResult::Exhausted) {
        Result = Admission::Exhausted;
        break;
      }
      Result = reserve(Request);
      if (Result != Admission::Short || DecisionClock::now() >= Deadline ||
          !(Loan == LoanResult::Busy || drawCouldSuffice(Request))) {
        break;
      }
      requestDraw(Request);
      waitForChange(Yield, Deadline);
      Result = reserve(Request);
    }
    if (Result != Admission::Admitted) {
      recordRefusal(Request, Result);
    }
    return Result;
  }

  /// @brief Draws tokens from the budget for another VM that borrows from this
  /// one, and waits briefly for them.
  /// @param Need Amount that the borrower is short of.
  void drawForBorrower(boost::asio::yield_context Yield,
                       const WorkspaceId &Workspace, Tokens Budget,
                       Tokens Need) {
    auto &Holder = Partitions.shardOf(Workspace).Holder;
    const TokenRequest Request{Workspace, Budget, Need,
                               DecisionClock::now() + BorrowerDrawTimeout};
    if (Holder.available(Workspace) >= Need || !drawCouldSuffice(Request)) {
      return;
    }
    auto &Sum = BorrowerNeeds[Workspace];
    Sum += Need;
    Holder.requestTokens(DecisionClock::now(), Workspace, Sum);
    RequestWrite(Workspace);
    while (Holder.available(Workspace) < Need &&
           DecisionClock::now() < Request.Deadline) {
      waitForChange(Yield, Request.Deadline);
    }
    BorrowerNeeds[Workspace] -= Need;
  }

  /// Borrows from other VMs until a bound is covered or a deadline passes.
  using LoanSource = std::function<LoanResult(
      boost::asio::yield_context, const WorkspaceId &, Tokens, Instant)>;

  /// @brief Sets how to borrow tokens from other VMs.
  void setLoanSource(LoanSource Source) { BorrowFromVms = std::move(Source); }

  /// @brief Ends a reservation.
  /// @param Spent Tokens that the request used, at most `Bound`.
  void settle(const WorkspaceId &Workspace, Tokens Bound, Tokens Spent) {
    Partitions.shardOf(Workspace).Holder.settle(DecisionClock::now(), Workspace,
                                                Bound, Spent);
  }

  /// @brief Wakes all waiting requests after a change of a table or a holder.
  void notifyWaiters() { Changed.cancel(); }

private:
  /// A healthy store answers within this.
  static constexpr Millis StoreTimeout{30};
  /// How long a loan request waits for a draw from the budget.
  static constexpr Millis BorrowerDrawTimeout{60};
  /// Refusals of a workspace are logged at most once in this interval.
  static constexpr Millis RefusalLogInterval{1'000};

  /// @brief A request for tokens of one workspace.
  struct TokenRequest {
    const WorkspaceId &Workspace;
    Tokens Budget;
    Tokens Bound;
    Instant Deadline; ///< When to give up.
  };

  [[nodiscard]] Shard &shardOf(const TokenRequest &Request) {
    return Partitions.shardOf(Request.Workspace);
  }

  [[nodiscard]] Admission reserve(const TokenRequest &Request) {
    auto &Part = shardOf(Request);
    return Part.Holder.reserve(DecisionClock::now(), Part.Table,
                               Request.Workspace, Request.Budget,
                               Request.Bound);
  }

  /// @brief Asks for a record that draws enough tokens for a request.
  void requestDraw(const TokenRequest &Request) {
    shardOf(Request).Holder.requestTokens(DecisionClock::now(),
                                          Request.Workspace, Request.Bound);
    RequestWrite(Request.Workspace);
  }

  [[nodiscard]] LoanResult borrow(boost::asio::yield_context Yield,
                                  const TokenRequest &Request) {
    if (!BorrowFromVms) {
      return LoanResult::Nothing;
    }
    const auto Result = BorrowFromVms(Yield, Request.Workspace, Request.Bound,
                                      Request.Deadline);
    if (Result != LoanResult::Busy && Result != LoanResult::NotTried) {
      notifyWaiters(); // Other requests may wait for the end of this attempt.
    }
    return Result;
  }

  /// @brief Whether the tokens that no VM has drawn, with those available here,
  /// cover a request, and this VM can draw them.
  [[nodiscard]] bool drawCouldSuffice(const TokenRequest &Request) {
    const auto &Part = shardOf(Request);
    const auto Free = Part.Table.totals(Request.Workspace).free(Request.Budget);
    const bool CanDraw = Part.Holder.joined() || Partitions.size() == 1;
    return CanDraw && IsStoreUp() && !Part.Holder.drawsSuspended() &&
           Free + Part.Holder.available(Request.Workspace) >= Request.Bound;
  }

  /// @brief Counts a refusal, and logs it unless one was logged recently.
  void recordRefusal(const TokenRequest &Request, Admission Result) {
    const auto Now = DecisionClock::now();
    const auto &Workspace = Request.Workspace;
    auto &[Table, Holder] = shardOf(Request);
    if (Result == Admission::Short) {
      Holder.recordUnmetDemand(Now, Workspace, Request.Bound);
    }
    auto &Unlogged = RefusalLogs[Workspace];
    ++Unlogged.Refusals;
    if (Now < Unlogged.QuietDeadline) {
      return;
    }
    const auto Sums = Table.totals(Workspace);
    log(LogLevel::Warn, "budget.refused",
        {{"workspace", Workspace.str()},
         {"exhausted", Result == Admission::Exhausted},
         {"bound", Request.Bound.count()},
         {"available", Holder.available(Workspace).count()},
         {"budget", Request.Budget.count()},
         {"drawn", Sums.Drawn.count()},
         {"spent", Sums.Spent.count()},
         {"in_doubt", Sums.InDoubt.count()},
         {"wanted", Sums.Wanted.count()},
         {"unknown", Sums.Unknown},
         {"ahead", Holder.prefetches(Workspace)},
         {"record", static_cast<std::int64_t>(Table.newest().Offset)},
         {"refusals", static_cast<std::int64_t>(Unlogged.Refusals)}});
    Unlogged = {Now + RefusalLogInterval, 0};
  }

  /// @brief Waits for the next `notifyWaiters`, at most until a deadline. The
  /// deadline of one request wakes all of them, since they share a timer.
  void waitForChange(boost::asio::yield_context Yield, Instant Deadline) {
    boost::asio::steady_timer Limit{Changed.get_executor()};
    Limit.expires_at(toSteadyTime(Deadline));
    Limit.async_wait([this](const boost::system::error_code &Cancelled) {
      if (!Cancelled) {
        notifyWaiters();
      }
    });
    boost::system::error_code Ignored; // The wait always ends by a cancel.
    Changed.async_wait(Yield[Ignored]);
  }

  struct RefusalLog {
    Instant QuietDeadline{};    ///< Nothing is logged until then.
    std::uint64_t Refusals = 0; ///< Not logged yet.
  };

  Shards &Partitions;
  /// Never expires; cancelling it wakes the waiting requests.
  boost::asio::steady_timer Changed;
  std::map<WorkspaceId, RefusalLog> RefusalLogs;
  /// Sum of the amounts that loan requests wait for now.
  std::map<WorkspaceId, Tokens> BorrowerNeeds;
  std::function<void(const WorkspaceId &)> RequestWrite;
  std::function<bool()> IsStoreUp;
  LoanSource BorrowFromVms;
};

} // namespace goldcrestnotch::escrow
