/// @file
/// Waiting for proofs of views.

#include "goldcrestnotch/notices/view_gate.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace goldcrestnotch::notices {

namespace asio = boost::asio;

namespace internal {

/// Interval between two questions on behalf of the requests that wait.
static constexpr Millis QuestionInterval{100};
/// Interval at which a request that waits looks for a proof.
static constexpr Millis CheckInterval{5};

} // namespace internal

ViewGate::ViewGate(asio::io_context &Loop, NoticeSocket &Socket,
                   ViewExchange &Views, std::function<bool()> StoreAnswers,
                   ViewExchange::RandomSource Draw)
    : Loop{Loop}, Socket{Socket}, Views{Views},
      StoreAnswers{std::move(StoreAnswers)}, Draw{std::move(Draw)} {}

void ViewGate::askIfDue(Instant Now) {
  if (Now >= NextQuestion) {
    NextQuestion = Now + internal::QuestionInterval;
    Views.ask(Now, ViewExchange::PeersPerUrgentRound, Draw);
  }
}

bool ViewGate::await(asio::yield_context Yield, View Wanted, Instant Deadline) {
  auto Now = DecisionClock::now();
  if (Views.usable(Now, Wanted)) {
    return true;
  }
  Socket.receivePending();
  const auto Limit = std::min(Deadline, Now + AnswerTimeout);
  while (!Views.usable(Now, Wanted) && Now < Limit && Socket.peerCount() > 0) {
    askIfDue(Now);
    asio::steady_timer Timer{Loop, internal::CheckInterval};
    Timer.async_wait(Yield);
    Socket.receivePending();
    Now = DecisionClock::now();
  }
  if (Views.usable(Now, Wanted)) {
    return true;
  }
  // A VM that is alone serves by what it knows, but a configuration that it can
  // still read must not be denied.
  const bool Alone = Wanted == View::Targets && Socket.peerCount() == 0;
  return (Alone || !StoreAnswers()) && Views.confirm(Now, Wanted);
}

} // namespace goldcrestnotch::notices
