/// @file
/// Accepts connections from callers and serves their requests.

#pragma once

#include <cstddef>
#include <memory>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/http/message.hpp"
#include "goldcrestnotch/proxy/caller_connection.hpp"
#include "goldcrestnotch/proxy/proxy_context.hpp"

namespace goldcrestnotch::proxy {

/// @brief The port of a VM on which callers send requests.
class Listener {
public:
  /// @param MaxConnections Number of open connections; further callers wait in
  /// the accept queue of the port.
  /// @throws boost::system::system_error if the address can't be bound.
  Listener(ProxyContext &Context, const http::Endpoint &Where,
           std::size_t MaxConnections);

  /// @brief Starts to accept connections and to measure the loop's delay.
  void start();
  /// @brief Accepts the connections in the accept queue and then no more; open
  /// connections are still served.
  void close();

  /// @brief Number of connections on which a request has begun to arrive and is
  /// not read whole.
  [[nodiscard]] std::size_t receiving() const;

  /// @brief Number of connections behind their last response that are not
  /// closed yet.
  [[nodiscard]] std::size_t closing() const noexcept { return Closing; }

  /// @brief Refuses the requests that have begun to arrive and are not read
  /// whole.
  void refuseReceiving();

private:
  /// @brief Accepts connections until the port is closed.
  void accept(boost::asio::yield_context Yield);
  /// @brief Starts a coroutine that serves an accepted connection.
  void startServing(const std::shared_ptr<CallerConnection> &Caller);
  /// @brief Accepts the connections that are already in the accept queue, up to
  /// a limit.
  /// @return How many there were.
  [[nodiscard]] int acceptReady();
  /// @brief Measures the delay of the event loop periodically.
  void probe(boost::asio::yield_context Yield);
  /// @brief Lets the caller receive the whole response before its connection is
  /// closed: the kernel drops what is on the way if bytes of the caller are
  /// unread.
  void awaitReceipt(const std::shared_ptr<CallerConnection> &Caller,
                    boost::asio::yield_context Yield);
  /// @brief Counts and logs a connection that is closed behind a whole response
  /// while bytes of its caller wait to be read.
  void reportUnread(const std::string &Request);
  /// @brief Serves the requests of a connection until it ends.
  void serve(const std::shared_ptr<CallerConnection> &Caller,
             boost::asio::yield_context Yield);
  /// @brief Reports a request that could not be read to its caller.
  void reject(CallerConnection &Caller, ReadResult Result,
              boost::asio::yield_context Yield);

  ProxyContext &Context;
  LineLimit ClosedUnreadLines{MaxCutLines};
  std::size_t Closing = 0;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::size_t MaxConnections;
  std::set<std::shared_ptr<CallerConnection>> Connections; ///< Open ones.
};

} // namespace goldcrestnotch::proxy
