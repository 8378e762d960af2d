/// @file
/// TCP relays that cut, delay or silence the way between two processes.

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
  Pass,   ///< Hand everything on.
  Drop,   ///< Close connections, old and new.
  Silent, ///< Keep connections open; nothing passes.
  Stale,  ///< Connections open now go silent; new ones pass.
};

/// @brief Listens on a port of its own and relays to an address.
class Relay : public std::enable_shared_from_this<Relay> {
public:
  Relay(boost::asio::io_context &Context, const std::string &Address);

  [[nodiscard]] std::uint16_t port() const noexcept { return Port; }

  void start();
  /// @brief Where new connections go from now on.
  void aim(const std::string &Address);
  void set(RelayMode Next);
  void delay(int Millis) { DelayMillis = Millis; }

private:
  struct Link;
  void accept();
  void connect(boost::asio::ip::tcp::socket Near);
  void pump(const std::shared_ptr<Link> &Pair, bool Outward);

  boost::asio::io_context &Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::ip::tcp::endpoint Far;
  std::uint16_t Port = 0;
  std::atomic<RelayMode> Mode{RelayMode::Pass};
  std::atomic<int> DelayMillis{0};
  std::atomic<std::uint64_t> Era{0}; ///< Links of earlier eras are stale.
};

} // namespace scenario
