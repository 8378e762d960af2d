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
    const auto Reserve = [&] {
      return Held.reserve(DecisionClock::now(), Known, Name, Budget, Bound);
    };
    const auto Ask = [&] {
      Held.want(DecisionClock::now(), Name, Bound);
      Hurry();
    };
    auto Result = Reserve();
    if (Result == Admission::Short && Held.ahead(Name)) {
      Ask();
      awaitNews(Yield, std::min(Until, DecisionClock::now() + StoreWait));
      Result = Reserve();
    }
    const auto Lent = [&] {
      if (Result == Admission::Short && Borrow) {
        if (Borrow(Yield, Name, Bound, Until)) {
          notify(); // Others may wait for tokens of the same workspace.
        }
        Result = Reserve();
      }
    };
    Lent();
    if (Result == Admission::Short) {
      Ask();
    }
    while (Result == Admission::Short && DecisionClock::now() < Until &&
           worthWaiting(Name, Budget, Bound)) {
      awaitNews(Yield, Until);
      Result = Reserve();
      Lent();
    }
    if (Result == Admission::Short) {
      Held.missed(DecisionClock::now(), Name, Bound);
    }
    if (Result != Admission::Admitted) {
      logRefusal(Result, Name, Budget, Bound);
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

  /// @brief Whether enough of the budget is in nobody's hands.
  [[nodiscard]] bool worthWaiting(const WorkspaceId &Name, Tokens Budget,
                                  Tokens Bound) const {
    const auto Free = Budget - Known.totals(Name).Drawn;
    return StoreUp() && Free + Held.available(Name) >= Bound;
  }

  void logRefusal(Admission Result, const WorkspaceId &Name, Tokens Budget,
                  Tokens Bound) {
    auto &At = Lines[Name];
    ++At.Refusals;
    const auto Now = DecisionClock::now();
    if (Now < At.QuietDeadline) {
      return;
    }
    const auto All = Known.totals(Name);
    log(LogLevel::Warn, "budget.refused",
        {{"workspace", Name.str()},
         {"exhausted", Result == Admission::Exhausted},
         {"bound", Bound.count()},
         {"available", Held.available(Name).count()},
         {"budget", Budget.count()},
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
