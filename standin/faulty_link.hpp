/// @file
/// TCP proxy on loopback that injects network faults into the connections that
/// it forwards.

#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/strand.hpp>

namespace standin {

/// @brief Forwards connections to one loopback port.
class FaultyLink {
public:
  enum class Mode : std::uint8_t {
    Pass,
    Slow,    ///< Each chunk is delayed by `SlowMs`.
    Narrow,  ///< As `Slow`, with chunks of `NarrowBytes`.
    Stalled, ///< Connections stay open, but no data is forwarded.
    OneWay,  ///< No data is forwarded to the client.
    Refuse,  ///< New connections are reset.
  };

  /// Delay of each chunk in `Mode::Slow`.
  static constexpr int SlowMs = 60;
  /// Size of a chunk in `Mode::Narrow`: each connection gets 17 KB a second.
  static constexpr std::size_t NarrowBytes = 1'024;

  FaultyLink(boost::asio::io_context &Context, std::uint16_t Target);

  [[nodiscard]] std::uint16_t port() const {
    return Acceptor.local_endpoint().port();
  }
  /// @brief Resets all open connections.
  void reset();

  std::atomic<Mode> CurrentMode{Mode::Pass};

private:
  using Socket = boost::asio::ip::tcp::socket;
  /// @brief The sockets of one forwarded connection. Used on the strand only.
  struct ConnectionPair {
    explicit ConnectionPair(boost::asio::io_context &Context)
        : Client{Context}, Upstream{Context} {}
    Socket Client;
    Socket Upstream;
  };

  void accept(boost::asio::yield_context Yield);
  /// @brief Copies bytes in one direction until either socket fails.
  void pump(const std::shared_ptr<ConnectionPair> &Pair, bool Forward,
            boost::asio::yield_context Yield);
  void close(ConnectionPair &Pair);

  boost::asio::io_context &Context;
  boost::asio::strand<boost::asio::io_context::executor_type> Strand;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::uint16_t Target;
  std::set<std::shared_ptr<ConnectionPair>>
      Connections; ///< Used on the strand only.
};

} // namespace standin
