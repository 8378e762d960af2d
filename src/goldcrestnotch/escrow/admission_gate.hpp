/// @file
/// Lets requests wait a moment for tokens that a write to the store may bring.

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

/// @brief How asking other VMs ended.
enum class LoanEnd : std::uint8_t {
  Given,     ///< Some gave.
  Busy,      ///< Another request asks for the same workspace.
  Nothing,   ///< Nobody gave.
  Vain,      ///< Nobody was asked: all were lately, and had too little.
  Exhausted, ///< Less is left of the whole budget.
};

/// @brief The way into the holders for coroutines of one thread.
class AdmissionGate {
public:
  /// @param Hurry Asks for a write to the store soon.
  /// @param StoreUp Whether a write could be done now.
  AdmissionGate(boost::asio::io_context &Loop, Shards &Parts,
                std::function<void(const WorkspaceId &)> Hurry,
                std::function<bool()> StoreUp)
      : Parts{Parts}, News{Loop}, Hurry{std::move(Hurry)}, StoreUp{std::move(
                                                               StoreUp)} {
    News.expires_at(boost::asio::steady_timer::time_point::max());
  }

  /// @brief Reserves a bound; if it falls short, asks other VMs, and waits for
  /// the store if a write could bring enough.
  /// @param Until When to give up.
  [[nodiscard]] Admission admit(boost::asio::yield_context Yield,
                                const WorkspaceId &Name, Tokens Budget,
                                Tokens Bound, Instant Until) {
    if (!Parts.opened()) {
      return Admission::Short;
    }
    const Wish What{Name, Budget, Bound, Until};
    auto Result = reserve(What);
    if (Result == Admission::Short && part(What).Held.ahead(Name)) {
      ask(What);
      awaitNews(Yield, std::min(Until, DecisionClock::now() + StoreWait));
      Result = reserve(What);
    }
    while (Result == Admission::Short) {
      const auto End = borrow(Yield, What);
      if (End == LoanEnd::Exhausted) {
        Result = Admission::Exhausted;
        break;
      }
      Result = reserve(What);
      if (Result != Admission::Short || DecisionClock::now() >= Until ||
          !(End == LoanEnd::Busy || worthWaiting(What))) {
        break;
      }
      ask(What);
      awaitNews(Yield, Until);
      Result = reserve(What);
    }
    if (Result != Admission::Admitted) {
      noteRefusal(What, Result);
    }
    return Result;
  }

  /// @brief Draws for another VM that asks this one.
  /// @param Need What it lacks.
  void supply(boost::asio::yield_context Yield, const WorkspaceId &Name,
              Tokens Budget, Tokens Need) {
    auto &Held = Parts.of(Name).Held;
    const Wish What{Name, Budget, Need, DecisionClock::now() + SupplyWait};
    if (Held.available(Name) >= Need || !worthWaiting(What)) {
      return;
    }
    auto &Sum = Supplies[Name];
    Sum += Need;
    Held.requestTokens(DecisionClock::now(), Name, Sum);
    Hurry(Name);
    while (Held.available(Name) < Need && DecisionClock::now() < What.Until) {
      awaitNews(Yield, What.Until);
    }
    Supplies[Name] -= Need;
  }

  /// Asks other VMs until a bound is covered.
  using AskOthers = std::function<LoanEnd(
      boost::asio::yield_context, const WorkspaceId &, Tokens, Instant)>;

  /// @brief Says how to ask other VMs for tokens.
  void setLoanSource(AskOthers Ask) { Borrow = std::move(Ask); }

  void settle(const WorkspaceId &Name, Tokens Bound, Tokens Spent) {
    Parts.of(Name).Held.settle(DecisionClock::now(), Name, Bound, Spent);
  }

  /// @brief The book or the holder has changed.
  void notifyWaiters() { News.cancel(); }

private:
  /// The store answers within this when it is well.
  static constexpr Millis StoreWait{30};
  /// The store's answer to a draw for another VM is awaited for so long.
  static constexpr Millis SupplyWait{60};
  /// At most one line about refusals of a workspace in this time.
  static constexpr Millis LinePause{1'000};

  /// @brief What a request asks for.
  struct Wish {
    const WorkspaceId &Name;
    Tokens Budget;
    Tokens Bound;
    Instant Until; ///< When to give up.
  };

  [[nodiscard]] Shard &part(const Wish &What) { return Parts.of(What.Name); }

  [[nodiscard]] Admission reserve(const Wish &What) {
    auto &At = part(What);
    return At.Held.reserve(DecisionClock::now(), At.Known, What.Name,
                           What.Budget, What.Bound);
  }

  /// @brief Asks for a record that brings enough.
  void ask(const Wish &What) {
    part(What).Held.requestTokens(DecisionClock::now(), What.Name, What.Bound);
    Hurry(What.Name);
  }

  [[nodiscard]] LoanEnd borrow(boost::asio::yield_context Yield,
                               const Wish &What) {
    if (!Borrow) {
      return LoanEnd::Nothing;
    }
    const auto End = Borrow(Yield, What.Name, What.Bound, What.Until);
    if (End != LoanEnd::Busy && End != LoanEnd::Vain) {
      notifyWaiters(); // Others may wait for the end of this one.
    }
    return End;
  }

  /// @brief Whether enough of the budget is in nobody's hands, and this VM can
  /// draw it.
  [[nodiscard]] bool worthWaiting(const Wish &What) {
    const auto &At = part(What);
    const auto Free = What.Budget - At.Known.totals(What.Name).Drawn;
    const bool Draws = At.Held.joined() || Parts.size() == 1;
    return Draws && StoreUp() &&
           Free + At.Held.available(What.Name) >= What.Bound;
  }

  void noteRefusal(const Wish &What, Admission Result) {
    const auto Now = DecisionClock::now();
    const auto &Name = What.Name;
    auto &[Known, Held] = part(What);
    if (Result == Admission::Short) {
      Held.recordUnmetDemand(Now, Name, What.Bound);
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
         {"in_doubt", All.InDoubt.count()},
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
        notifyWaiters();
      }
    });
    boost::system::error_code Ignored; // The wait always ends by a cancel.
    News.async_wait(Yield[Ignored]);
  }

  struct Line {
    Instant QuietDeadline{};
    std::uint64_t Refusals = 0; ///< Since the last line.
  };

  Shards &Parts;
  boost::asio::steady_timer News;
  std::map<WorkspaceId, Line> Lines;
  std::map<WorkspaceId, Tokens> Supplies; ///< Asked for by other VMs now.
  std::function<void(const WorkspaceId &)> Hurry;
  std::function<bool()> StoreUp;
  AskOthers Borrow;
};

} // namespace goldcrestnotch::escrow
