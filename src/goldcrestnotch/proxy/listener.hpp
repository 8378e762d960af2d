/// @file
/// Accepts callers and serves their connections.

#pragma once

#include <cstddef>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/http/message.hpp"
#include "goldcrestnotch/proxy/caller_connection.hpp"
#include "goldcrestnotch/proxy/proxy_context.hpp"

namespace goldcrestnotch::proxy {

/// @brief The callers' port of a VM.
class Listener {
public:
  /// @param MostConnections Beyond these a caller waits in the port's queue.
  /// @throws boost::system::system_error if the address can't be bound.
  Listener(ProxyContext &Shared, const http::Endpoint &Where,
           std::size_t MostConnections);

  void start();
  /// @brief Takes no more connections; those that are open go on.
  void close();

private:
  void accept(boost::asio::yield_context Yield);
  /// @brief Takes a connection in.
  void welcome(const std::shared_ptr<CallerConnection> &From);
  /// @brief Takes in what waits besides.
  void acceptReady();
  /// @brief Measures the loop's delay.
  void probe(boost::asio::yield_context Yield);
  void serve(const std::shared_ptr<CallerConnection> &From,
             boost::asio::yield_context Yield);
  void reject(CallerConnection &From, ReadEnd End,
              boost::asio::yield_context Yield);

  ProxyContext &Shared;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::size_t MostConnections;
  std::size_t Connections = 0;
};

} // namespace goldcrestnotch::proxy
