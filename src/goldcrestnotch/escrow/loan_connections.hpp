/// @file
/// A pool of connections to other VMs for loan requests.

#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/http/session.hpp"

namespace goldcrestnotch::escrow {

/// @brief Sends requests to VMs over pooled connections. Used by one thread.
class LoanConnections {
public:
  explicit LoanConnections(boost::asio::io_context &Loop) : Loop{Loop} {}

  /// @brief Sends a request and reads the whole response.
  /// @throws Error whose verdict is `not-run` only if no byte was sent.
  [[nodiscard]] http::Response call(boost::asio::yield_context Yield,
                                    const std::string &Address,
                                    const http::Request &Request);
  /// @brief Closes connections that have been idle for too long.
  void expire(Instant Now);

private:
  struct PooledConnection {
    std::unique_ptr<http::Session> Session;
    Instant IdleDeadline{};
  };

  boost::asio::io_context &Loop;
  /// Idle connections by address; the last one was used last.
  std::map<std::string, std::deque<PooledConnection>> Idle;
};

} // namespace goldcrestnotch::escrow
