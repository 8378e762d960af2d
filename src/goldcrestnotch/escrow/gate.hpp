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
  Gate(boost::asio::io_context &Loop, Book &Known, Holder &Held,
       std::function<void()> Hurry)
      : Known{Known}, Held{Held}, News{Loop}, Hurry{std::move(Hurry)} {
    News.expires_at(boost::asio::steady_timer::time_point::max());
  }

  /// @brief Reserves a bound, waiting for news if it falls short.
  /// @param Until When to give up.
  [[nodiscard]] Admission admit(boost::asio::yield_context Yield,
                                const WorkspaceId &Name, Tokens Budget,
                                Tokens Bound, Instant Until) {
    auto Result = Held.reserve(DecisionClock::now(), Known, Name, Budget, Bound);
    while (Result == Admission::Short && DecisionClock::now() < Until) {
      Hurry();
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
      Result = Held.reserve(DecisionClock::now(), Known, Name, Budget, Bound);
    }
    return Result;
  }

  void settle(const WorkspaceId &Name, Tokens Bound, Tokens Spent) {
    Held.settle(DecisionClock::now(), Name, Bound, Spent);
  }

  /// @brief The book or the holder has changed.
  void notify() { News.cancel(); }

private:
  Book &Known;
  Holder &Held;
  boost::asio::steady_timer News;
  std::function<void()> Hurry;
};

} // namespace goldcrestnotch::escrow
