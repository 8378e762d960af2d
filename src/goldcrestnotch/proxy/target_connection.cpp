/// @file
/// Opening, checking and pooling of connections to targets.

#include "goldcrestnotch/proxy/target_connection.hpp"

#include <algorithm>
#include <utility>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/idle.hpp"

namespace goldcrestnotch::proxy {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace internal {

/// The kernel closes a connection whose sent bytes are not acknowledged for
/// this long, since its peer no longer responds.
static constexpr int UserTimeoutMs = 3'000;
/// Largest number of idle connections to one target.
static constexpr std::size_t MaxIdle = 32;

} // namespace internal

bool TargetConnection::idle() { return http::idle(Socket.socket(), Buffer); }

std::shared_ptr<TargetConnection>
ConnectionPool::acquire(Instant Now, const backend::Registration &To) {
  const auto It = Idle.find({To.Name, To.Incarnation});
  if (It == Idle.end()) {
    return nullptr;
  }
  while (!It->second.empty()) {
    auto Connection = std::move(It->second.back());
    It->second.pop_back();
    if (Now < Connection->ReuseDeadline && Connection->idle()) {
      return Connection;
    }
  }
  return nullptr;
}

std::shared_ptr<TargetConnection>
ConnectionPool::connect(asio::yield_context Yield,
                        const backend::Registration &To, Instant Deadline) {
  auto Connection = std::make_shared<TargetConnection>(Loop);
  boost::system::error_code Failure;
  const auto Address = asio::ip::make_address(To.Endpoint.Address, Failure);
  if (!Failure) {
    Connection->Timeout.expiresAt(Deadline);
    Connection->Socket.async_connect(tcp::endpoint{Address, To.Endpoint.Port},
                                     Yield[Failure]);
  }
  Connection->Timeout.expiresNever();
  if (Failure) {
    throw Error{503,
                Failure == asio::error::connection_refused
                    ? RefusedConnection
                    : "target_unreachable",
                "cannot connect to target at " + To.Endpoint.str() + ": " +
                    Failure.message()};
  }
  setOptions(*Connection);
  return Connection;
}

void ConnectionPool::setOptions(TargetConnection &Connection) {
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  // Without these options the connection works, but detects a lost peer later.
  boost::system::error_code Ignored;
  Connection.Socket.socket().set_option(tcp::no_delay(true), Ignored);
  Connection.Socket.socket().set_option(UserTimeout{internal::UserTimeoutMs},
                                        Ignored);
}

std::size_t ConnectionPool::idleLimit(std::int64_t MaxConnections) const {
  if (MaxConnections <= 0) {
    return internal::MaxIdle;
  }
  const auto Share = static_cast<std::size_t>(MaxConnections) / VmCount;
  return std::clamp<std::size_t>(Share, 1, internal::MaxIdle);
}

std::size_t ConnectionPool::idleCount(const backend::Registration &To) const {
  const auto It = Idle.find({To.Name, To.Incarnation});
  return It == Idle.end() ? 0 : It->second.size();
}

void ConnectionPool::release(const backend::Registration &To,
                             std::shared_ptr<TargetConnection> Connection,
                             std::int64_t MaxConnections) {
  Connection->Timeout.expiresNever();
  Connection->Buffer.shrink_to_fit();
  auto &Connections = Idle[{To.Name, To.Incarnation}];
  Connections.push_back(std::move(Connection));
  while (Connections.size() > idleLimit(MaxConnections)) {
    Connections.pop_front();
  }
}

void ConnectionPool::expire(Instant Now) {
  for (auto It = Idle.begin(); It != Idle.end();) {
    std::erase_if(It->second,
                  [&](const std::shared_ptr<TargetConnection> &Connection) {
                    return Now >= Connection->ReuseDeadline;
                  });
    It = It->second.empty() ? Idle.erase(It) : std::next(It);
  }
}

} // namespace goldcrestnotch::proxy
