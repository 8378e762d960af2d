/// @file
/// Holds a request until the view by which it was decided is known to hold, so
/// that no decision takes effect later than its view allows.

#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/notices/view_exchange.hpp"

namespace goldcrestnotch::notices {

/// @brief Waits for proofs of views on behalf of requests.
class ViewGate {
public:
  /// Packets of a VM that is not overloaded wait for less than this.
  static constexpr Millis AnswerTimeout{500};

  /// @param StoreAnswers Tells whether the store answers this VM.
  /// @param Draw Returns a uniformly distributed number in [0, 1).
  ViewGate(boost::asio::io_context &Loop, NoticeSocket &Socket,
           ViewExchange &Views, std::function<bool()> StoreAnswers,
           ViewExchange::RandomSource Draw);

  /// @brief Waits until a decision by a view may take effect. If the view is
  /// too old, other VMs are asked for a newer proof.
  ///
  /// If the store answers nobody who could be asked, an old view is as good as
  /// any.
  /// @param Deadline When to give up; `AnswerTimeout` if that is earlier.
  /// @return False if the view may be too old.
  [[nodiscard]] bool await(boost::asio::yield_context Yield, View Wanted,
                           Instant Deadline);

private:
  void askIfDue(Instant Now);

  boost::asio::io_context &Loop;
  NoticeSocket &Socket;
  ViewExchange &Views;
  std::function<bool()> StoreAnswers;
  ViewExchange::RandomSource Draw;
  Instant NextQuestion{}; ///< The requests that wait share their questions.
};

} // namespace goldcrestnotch::notices
