/// @file
/// Reuses connections to other VMs, and closes idle ones.

#include "goldcrestnotch/escrow/loan_connections.hpp"

#include <utility>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/endpoint_text.hpp"

namespace goldcrestnotch::escrow {

namespace internal {

/// A VM of the same region accepts a connection within this.
static constexpr Millis ConnectTimeout{60};
/// Tokens of a loan whose response is not read are lost to both VMs, so the
/// timeout is long enough for a congested network link.
static constexpr Millis ResponseTimeout{500};
/// Shorter than the 10 s after which the other side closes an idle connection.
static constexpr Millis IdleTimeout{5'000};

} // namespace internal

http::Response LoanConnections::call(boost::asio::yield_context Yield,
                                     const std::string &Address,
                                     const http::Request &Request) {
  const auto Now = DecisionClock::now();
  auto &Available = Idle[Address];
  PooledConnection Connection;
  if (!Available.empty() && Now < Available.back().IdleDeadline) {
    Connection = std::move(Available.back());
    Available.pop_back();
  } else {
    const auto Remote = http::readEndpoint(Address);
    if (!Remote) {
      throw Error{503, "endpoint_failed", "'" + Address + "' is no address"}
          .withVerdict(Verdict::NotRun);
    }
    Connection.Session = std::make_unique<http::Session>(Loop, *Remote);
  }
  Connection.Session->connectBy(Now + internal::ConnectTimeout);
  auto Response =
      Connection.Session->send(Yield, Request, Now + internal::ResponseTimeout);
  Connection.IdleDeadline = DecisionClock::now() + internal::IdleTimeout;
  Idle[Address].push_back(std::move(Connection));
  return Response;
}

void LoanConnections::expire(Instant Now) {
  for (auto It = Idle.begin(); It != Idle.end();) {
    std::erase_if(It->second, [Now](const PooledConnection &Connection) {
      return Now >= Connection.IdleDeadline;
    });
    It = It->second.empty() ? Idle.erase(It) : std::next(It);
  }
}

} // namespace goldcrestnotch::escrow
