/// @file
/// Connections to targets, kept between requests.

#pragma once

#include <deque>
#include <map>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "goldcrestnotch/backend/target.hpp"
#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch::proxy {

/// A TCP stream of the traffic thread.
using Stream =
    boost::beast::basic_stream<boost::asio::ip::tcp,
                               boost::asio::io_context::executor_type>;

/// @brief The form in which sockets take deadlines.
[[nodiscard]] inline std::chrono::steady_clock::time_point
socketTime(Instant When) noexcept {
  return std::chrono::steady_clock::time_point{When.time_since_epoch()};
}

/// @brief One connection to a target.
class TargetConnection {
public:
  explicit TargetConnection(boost::asio::io_context &Loop) : Socket{Loop} {}

  /// @brief Whether nothing has come on it and it has not been closed.
  [[nodiscard]] bool quiet();

  Stream Socket;
  boost::beast::flat_buffer Buffer;
  Instant ReuseDeadline{}; ///< The target may close it from then on.
};

/// @brief Idle connections by target.
///
/// Invariant: an idle link has carried whole exchanges only.
class ConnectionPool {
public:
  explicit ConnectionPool(boost::asio::io_context &Loop) : Loop{Loop} {}

  /// @brief A kept connection, or null.
  [[nodiscard]] std::shared_ptr<TargetConnection>
  take(Instant Now, const backend::Registration &To);
  /// @brief Opens a connection.
  /// @throws Error with verdict `not-run`.
  [[nodiscard]] std::shared_ptr<TargetConnection>
  connect(boost::asio::yield_context Yield, const backend::Registration &To,
          Instant Until);
  /// @brief Keeps a connection whose last exchange is whole.
  void put(const backend::Registration &To,
           std::shared_ptr<TargetConnection> Kept);
  /// @brief Closes what has been idle too long.
  void expire(Instant Now);

private:
  struct Key {
    TargetId Name;
    std::uint64_t Incarnation = 0;
    auto operator<=>(const Key &) const = default;
  };

  boost::asio::io_context &Loop;
  std::map<Key, std::deque<std::shared_ptr<TargetConnection>>> Idle;
};

} // namespace goldcrestnotch::proxy
