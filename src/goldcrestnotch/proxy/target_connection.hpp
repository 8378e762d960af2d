/// @file
/// Connections to targets and the pool that keeps them between requests.

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/basic_stream.hpp>

#include "goldcrestnotch/backend/target.hpp"
#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/http/read_buffer.hpp"
#include "goldcrestnotch/http/stream_timeout.hpp"

namespace goldcrestnotch::proxy {

/// A TCP stream with deadlines that is used by the traffic thread only.
using TcpStream =
    boost::beast::basic_stream<boost::asio::ip::tcp,
                               boost::asio::io_context::executor_type>;

/// @brief One connection to a target.
class TargetConnection {
public:
  explicit TargetConnection(boost::asio::io_context &Loop) : Socket{Loop} {}

  /// @brief Whether the connection is open and has no unread bytes.
  [[nodiscard]] bool idle();

  TcpStream Socket;
  http::StreamTimeout<TcpStream> Timeout{Socket};
  http::ReadBuffer Buffer;
  bool Used = false; ///< It has carried a request before.
  /// It leads through another VM, whose end looks like that of the target.
  bool Relayed = false;
  Instant ReuseDeadline{}; ///< The target may close it after this time.
};

/// @brief Idle connections by target.
///
/// Invariant: every exchange on an idle connection has been completed.
class ConnectionPool {
public:
  explicit ConnectionPool(boost::asio::io_context &Loop) : Loop{Loop} {}

  /// @brief Removes an idle connection to a target from the pool.
  /// @return Null if there is none that can be reused.
  [[nodiscard]] std::shared_ptr<TargetConnection>
  acquire(Instant Now, const backend::Registration &To);
  /// Code of the error if nothing listens at the target's address.
  static constexpr const char *RefusedConnection = "target_refused_connection";

  /// @brief Opens a connection.
  /// @throws Error with verdict `not-run`.
  [[nodiscard]] std::shared_ptr<TargetConnection>
  connect(boost::asio::yield_context Yield, const backend::Registration &To,
          Instant Deadline);
  /// @brief Sets the options of a new connection.
  static void setOptions(TargetConnection &Connection);
  /// @brief Returns a connection whose last exchange is complete. If this VM
  /// keeps too many idle connections to the target, the oldest one is closed.
  /// @param MaxConnections Number of connections that the target accepts from
  /// all VMs together; zero if it is unknown.
  void release(const backend::Registration &To,
               std::shared_ptr<TargetConnection> Connection,
               std::int64_t MaxConnections);
  /// @brief Number of idle connections to a target.
  [[nodiscard]] std::size_t idleCount(const backend::Registration &To) const;
  /// @brief Sets the number of VMs that share the connections of a target.
  void updateVmCount(std::size_t Count) noexcept {
    VmCount = std::max<std::size_t>(Count, 1);
  }
  /// @brief Closes connections whose reuse deadline has passed.
  void expire(Instant Now);

private:
  /// @brief One run of a target; a restarted target has a new incarnation.
  struct Key {
    TargetId Name;
    std::uint64_t Incarnation = 0;
    auto operator<=>(const Key &) const = default;
  };

  /// @brief Number of idle connections to one target that this VM may keep.
  [[nodiscard]] std::size_t idleLimit(std::int64_t MaxConnections) const;

  boost::asio::io_context &Loop;
  std::size_t VmCount = 1;
  std::map<Key, std::deque<std::shared_ptr<TargetConnection>>> Idle;
};

} // namespace goldcrestnotch::proxy
