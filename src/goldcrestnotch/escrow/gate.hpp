/// @file
/// Lets requests wait a moment for tokens that a write to the store may bring.

#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include "goldcrestnotch/escrow/holder.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch::escrow {

/// @brief The way into a holder for coroutines of one thread.
class Gate {
public:
  /// @param Hurry Asks for a write to the store soon.
  /// @param StoreUp Whether a write could be done now.
  Gate(boost::asio::io_context &Loop, Book &Known, Holder &Held,
       std::function<void()> Hurry, std::function<bool()> StoreUp)
      : Known{Known}, Held{Held}, News{Loop}, Hurry{std::move(Hurry)},
        StoreUp{std::move(StoreUp)} {
    News.expires_at(boost::asio::steady_timer::time_point::max());
  }

  /// @brief Reserves a bound; if it falls short, asks other VMs, and waits for
  /// the store if a write could bring enough.
  /// @param Until When to give up.
  [[nodiscard]] Admission admit(boost::asio::yield_context Yield,
                                const WorkspaceId &Name, Tokens Budget,
                                Tokens Bound, Instant Until) {
    const Wish What{Name, Budget, Bound, Until};
    auto Result = reserve(What);
    if (Result == Admission::Short && Held.ahead(Name)) {
      ask(What);
      awaitNews(Yield, std::min(Until, DecisionClock::now() + StoreWait));
      Result = reserve(What);
    }
    if (Result == Admission::Short) {
      Result = borrow(Yield, What);
    }
    if (Result == Admission::Short) {
      ask(What);
    }
    while (Result == Admission::Short && DecisionClock::now() < Until &&
           worthWaiting(What)) {
      awaitNews(Yield, Until);
      Result = reserve(What);
      if (Result == Admission::Short) {
        Result = borrow(Yield, What);
      }
    }
    if (Result != Admission::Admitted) {
      noteRefusal(What, Result);
    }
    return Result;
  }

  /// Asks other VMs until a bound is covered; whether any gave.
  using AskOthers = std::function<bool(boost::asio::yield_context,
                                       const WorkspaceId &, Tokens, Instant)>;

  /// @brief Says how to ask other VMs for tokens.
  void lendBy(AskOthers Ask) { Borrow = std::move(Ask); }

  void settle(const WorkspaceId &Name, Tokens Bound, Tokens Spent) {
    Held.settle(DecisionClock::now(), Name, Bound, Spent);
  }

  /// @brief The book or the holder has changed.
  void notify() { News.cancel(); }

private:
  /// The store answers within this when it is well.
  static constexpr Millis StoreWait{30};
  /// At most one line about refusals of a workspace in this time.
  static constexpr Millis LinePause{1'000};

  /// @brief What a request asks for.
  struct Wish {
    const WorkspaceId &Name;
    Tokens Budget;
    Tokens Bound;
    Instant Until; ///< When to give up.
  };

  [[nodiscard]] Admission reserve(const Wish &What) {
    return Held.reserve(DecisionClock::now(), Known, What.Name, What.Budget,
                        What.Bound);
  }

  /// @brief Asks for a record that brings enough.
  void ask(const Wish &What) {
    Held.want(DecisionClock::now(), What.Name, What.Bound);
    Hurry();
  }

  /// @brief Asks other VMs, then reserves.
  [[nodiscard]] Admission borrow(boost::asio::yield_context Yield,
                                 const Wish &What) {
    if (!Borrow) {
      return Admission::Short;
    }
    if (Borrow(Yield, What.Name, What.Bound, What.Until)) {
      notify(); // Others may wait for tokens of the same workspace.
    }
    return reserve(What);
  }

  /// @brief Whether enough of the budget is in nobody's hands.
  [[nodiscard]] bool worthWaiting(const Wish &What) const {
    const auto Free = What.Budget - Known.totals(What.Name).Drawn;
    return StoreUp() && Free + Held.available(What.Name) >= What.Bound;
  }

  void noteRefusal(const Wish &What, Admission Result) {
    const auto Now = DecisionClock::now();
    const auto &Name = What.Name;
    if (Result == Admission::Short) {
      Held.missed(Now, Name, What.Bound);
    }
    auto &At = Lines[Name];
    ++At.Refusals;
    if (Now < At.QuietDeadline) {
      return;
    }
    const auto All = Known.totals(Name);
    log(LogLevel::Warn, "budget.refused",
        {{"workspace", Name.str()},
         {"exhausted", Result == Admission::Exhausted},
         {"bound", What.Bound.count()},
         {"available", Held.available(Name).count()},
         {"budget", What.Budget.count()},
         {"drawn", All.Drawn.count()},
         {"spent", All.Spent.count()},
         {"in_doubt", All.Doubt.count()},
         {"wanted", All.Wanted.count()},
         {"ahead", Held.ahead(Name)},
         {"record", static_cast<std::int64_t>(Known.newest())},
         {"refusals", static_cast<std::int64_t>(At.Refusals)}});
    At = {Now + LinePause, 0};
  }

  void awaitNews(boost::asio::yield_context Yield, Instant Until) {
    boost::asio::steady_timer Limit{News.get_executor()};
    Limit.expires_at(
        boost::asio::steady_timer::time_point{Until.time_since_epoch()});
    Limit.async_wait([this](const boost::system::error_code &Cancelled) {
      if (!Cancelled) {
        notify();
      }
    });
    boost::system::error_code Ignored; // The wait always ends by a cancel.
    News.async_wait(Yield[Ignored]);
  }

  struct Line {
    Instant QuietDeadline{};
    std::uint64_t Refusals = 0; ///< Since the last line.
  };

  Book &Known;
  Holder &Held;
  boost::asio::steady_timer News;
  std::map<WorkspaceId, Line> Lines;
  std::function<void()> Hurry;
  std::function<bool()> StoreUp;
  AskOthers Borrow;
};

} // namespace goldcrestnotch::escrow
