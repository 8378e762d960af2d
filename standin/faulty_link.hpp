/// @file
/// A proxy on loopback that does to connections what bad networks do.

#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/strand.hpp>

namespace standin {

/// @brief Passes connections on to one port.
class FaultyLink {
public:
  enum class Mode : std::uint8_t {
    Pass,
    Slow,   ///< Each piece is held up for `SlowMs`.
    Silent, ///< Connections stand open and nothing gets through.
    OneWay, ///< Nothing comes back.
    Refuse, ///< New connections are reset.
  };

  static constexpr int SlowMs = 60;

  FaultyLink(boost::asio::io_context &Context, std::uint16_t Target);

  [[nodiscard]] std::uint16_t port() const {
    return Acceptor.local_endpoint().port();
  }
  /// @brief Resets all connections that are open.
  void reset();

  std::atomic<Mode> Now{Mode::Pass};

private:
  using Socket = boost::asio::ip::tcp::socket;
  /// @brief The two ends of one connection. Used on the strand only.
  struct Pair {
    explicit Pair(boost::asio::io_context &Context)
        : Near{Context}, Far{Context} {}
    Socket Near;
    Socket Far;
  };

  void accept(boost::asio::yield_context Yield);
  void pump(const std::shared_ptr<Pair> &Ends, bool Forward,
            boost::asio::yield_context Yield);
  void close(Pair &Ends);

  boost::asio::io_context &Context;
  boost::asio::strand<boost::asio::io_context::executor_type> Strand;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::uint16_t Target;
  std::set<std::shared_ptr<Pair>> Open; ///< Used on the strand only.
};

} // namespace standin
