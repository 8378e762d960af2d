/// @file
/// Keeping connections to other VMs.

#include "goldcrestnotch/escrow/loan_links.hpp"

#include <utility>

namespace goldcrestnotch::escrow {

namespace internal {

/// A VM of the same region takes a connection within this.
static constexpr Millis ConnectWait{60};
/// A loan whose answer is not awaited is lost to both, so a full link is waited
/// for.
static constexpr Millis AnswerWait{500};
/// The other side closes a connection that is idle for 10 s.
static constexpr Millis IdleWait{5'000};

} // namespace internal

http::Response LoanLinks::call(boost::asio::yield_context Yield,
                               const std::string &Address,
                               const http::Request &Asked) {
  const auto Now = DecisionClock::now();
  auto &Row = Idle[Address];
  Kept Taken;
  if (!Row.empty() && Now < Row.back().IdleDeadline) {
    Taken = std::move(Row.back());
    Row.pop_back();
  } else {
    Taken.Link =
        std::make_unique<http::Session>(Loop, http::Endpoint::parse(Address));
  }
  Taken.Link->connectBy(Now + internal::ConnectWait);
  auto Answer = Taken.Link->send(Yield, Asked, Now + internal::AnswerWait);
  Taken.IdleDeadline = DecisionClock::now() + internal::IdleWait;
  Idle[Address].push_back(std::move(Taken));
  return Answer;
}

void LoanLinks::expire(Instant Now) {
  for (auto It = Idle.begin(); It != Idle.end();) {
    std::erase_if(It->second,
                  [Now](const Kept &One) { return Now >= One.IdleDeadline; });
    It = It->second.empty() ? Idle.erase(It) : std::next(It);
  }
}

} // namespace goldcrestnotch::escrow
