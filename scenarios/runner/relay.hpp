/// @file
/// TCP relays that cut, delay or silence the connections between two processes.

#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace scenario {

/// @brief What a relay does with connections and bytes.
enum class RelayMode : int {
  Pass,   ///< Forward everything.
  Drop,   ///< Close open and new connections.
  Silent, ///< Keep connections open, but forward nothing.
  Stale,  ///< Silence the open connections; forward new ones.
};

/// @brief Listens on a free loopback port and relays to an address.
class Relay : public std::enable_shared_from_this<Relay> {
public:
  Relay(boost::asio::io_context &Context, const std::string &Address);

  [[nodiscard]] std::uint16_t port() const noexcept { return Port; }

  void start();
  /// @brief Sets the address that new connections are relayed to.
  void aim(const std::string &Address);
  /// @brief Sets the mode. `Stale` silences the connections open now and leaves
  /// the relay in mode `Pass`.
  void set(RelayMode NewMode);
  /// @brief Sets the delay of each block of bytes, in either direction.
  void delay(int Millis) { DelayMillis = Millis; }

private:
  struct Connection;
  void accept();
  void connect(boost::asio::ip::tcp::socket ClientSide);
  void pump(const std::shared_ptr<Connection> &Sockets, bool ToServer);

  boost::asio::io_context &Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::ip::tcp::endpoint Upstream;
  std::uint16_t Port = 0;
  std::atomic<RelayMode> Mode{RelayMode::Pass};
  std::atomic<int> DelayMillis{0};
  /// Connections of earlier generations are stale.
  std::atomic<std::uint64_t> Generation{0};
};

} // namespace scenario
