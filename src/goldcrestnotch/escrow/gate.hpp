/// @file
/// Lets requests wait a moment for tokens that a write to the store may bring.

#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include "goldcrestnotch/escrow/holder.hpp"

namespace goldcrestnotch::escrow {

/// @brief The way into a holder for coroutines of one thread.
class Gate {
public:
  /// @param Hurry Asks for a write to the store soon.
  /// @param Home Whether this VM holds tokens of a workspace ahead.
  Gate(boost::asio::io_context &Loop, Book &Known, Holder &Held,
       std::function<void()> Hurry, IsHome Home)
      : Known{Known}, Held{Held}, News{Loop}, Hurry{std::move(Hurry)},
        Home{std::move(Home)} {
    News.expires_at(boost::asio::steady_timer::time_point::max());
  }

  /// @brief Reserves a bound; if it falls short, waits for the store and asks
  /// other VMs.
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
    if (Result == Admission::Short && Home(Name)) {
      Ask();
      awaitNews(Yield, std::min(Until, DecisionClock::now() + StoreWait));
      Result = Reserve();
    }
    if (Result == Admission::Short && Borrow) {
      Borrow(Yield, Name, Bound);
      Result = Reserve();
    }
    if (Result == Admission::Short) {
      Ask();
    }
    while (Result == Admission::Short && DecisionClock::now() < Until) {
      awaitNews(Yield, Until);
      Result = Reserve();
    }
    return Result;
  }

  /// @brief Says how to ask other VMs for tokens.
  void lendBy(std::function<void(boost::asio::yield_context,
                                 const WorkspaceId &, Tokens)>
                  Ask) {
    Borrow = std::move(Ask);
  }

  void settle(const WorkspaceId &Name, Tokens Bound, Tokens Spent) {
    Held.settle(Name, Bound, Spent);
  }

  /// @brief The book or the holder has changed.
  void notify() { News.cancel(); }

private:
  /// The store answers within this when it is well.
  static constexpr Millis StoreWait{30};

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

  Book &Known;
  Holder &Held;
  boost::asio::steady_timer News;
  std::function<void()> Hurry;
  IsHome Home;
  std::function<void(boost::asio::yield_context, const WorkspaceId &, Tokens)>
      Borrow;
};

} // namespace goldcrestnotch::escrow
