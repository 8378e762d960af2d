/// @file
/// Makes an event loop late: responses arrive before the deadline of requests,
/// and the loop runs only after it.

#pragma once

#include <string_view>
#include <thread>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "goldcrestnotch/core/instant.hpp"

namespace standin {

/// Number of sockets that are ready together; a turn of a loop finds 128.
inline constexpr int LateSocketCount = 400;

/// @brief Runs a loop until `LateSocketCount` connections to an acceptor are
/// open, answers all of them at once, and runs the loop again after a deadline.
/// @return Whether all responses were sent before the deadline.
[[nodiscard]] inline bool
answerLateLoop(boost::asio::io_context &Loop,
               boost::asio::ip::tcp::acceptor &Acceptor,
               std::string_view Response, goldcrestnotch::Instant Deadline) {
  using goldcrestnotch::DecisionClock;
  using std::chrono::milliseconds;
  std::vector<boost::asio::ip::tcp::socket> Accepted;
  Acceptor.non_blocking(true);
  while (Accepted.size() < LateSocketCount && DecisionClock::now() < Deadline) {
    (void)Loop.run_for(milliseconds{1});
    Loop.restart();
    boost::system::error_code Failure;
    while (!Failure) {
      auto Connection = Acceptor.accept(Failure);
      if (!Failure) {
        Accepted.push_back(std::move(Connection));
      }
    }
  }
  (void)Loop.run_for(milliseconds{50}); // The requests are sent.
  Loop.restart();
  // The kernel reports this timer before the responses.
  boost::asio::steady_timer EarlierTimer{Loop, milliseconds{1}};
  EarlierTimer.async_wait([](const boost::system::error_code &) {});
  std::this_thread::sleep_for(milliseconds{20});
  for (auto &Connection : Accepted) {
    boost::asio::write(Connection, boost::asio::buffer(Response));
  }
  const bool InTime =
      Accepted.size() == LateSocketCount && DecisionClock::now() < Deadline;
  std::this_thread::sleep_until(goldcrestnotch::toSteadyTime(Deadline) +
                                milliseconds{50});
  (void)Loop.run();
  return InTime;
}

} // namespace standin
