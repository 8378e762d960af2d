/// @file
/// The path from one machine to one replica: a TCP proxy on loopback that can
/// be cut like a partition that refuses.

#pragma once

#include <array>
#include <memory>
#include <set>

#include <fcntl.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

namespace review {

/// @brief Copies bytes, orderly ends and resets in both directions. While it is
/// cut, its connections have been reset and new ones are refused.
class Path {
public:
  using tcp = boost::asio::ip::tcp;

  Path(boost::asio::io_context &Loop, std::uint16_t To)
      : Loop{Loop}, Strand{Loop.get_executor()}, To{To}, Acceptor{Loop} {
    listen(0);
    Port = Acceptor.local_endpoint().port();
  }

  [[nodiscard]] std::uint16_t port() const noexcept { return Port; }

  void cut() {
    boost::asio::post(Strand, [this] {
      boost::system::error_code Ignored;
      Acceptor.close(Ignored);
      for (const auto &Pair : Pairs) {
        reset(*Pair);
      }
    });
  }
  void heal() {
    boost::asio::post(Strand, [this] { listen(Port); });
  }

private:
  using Yield = boost::asio::yield_context;

  struct Sockets {
    explicit Sockets(boost::asio::io_context &Loop) : Near{Loop}, Far{Loop} {}
    tcp::socket Near;
    tcp::socket Far;
  };

  /// @brief Keeps a socket from the daemons that are started later.
  template <typename Socket> static void own(Socket &Opened) {
    ::fcntl(Opened.native_handle(), F_SETFD, FD_CLOEXEC);
  }

  static tcp::endpoint loopback(std::uint16_t Number) {
    return {boost::asio::ip::address_v4::loopback(), Number};
  }

  void listen(std::uint16_t Number) {
    Acceptor.open(tcp::v4());
    own(Acceptor);
    Acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    Acceptor.bind(loopback(Number));
    Acceptor.listen();
    boost::asio::spawn(Strand, [this](Yield Accepting) { accept(Accepting); });
  }

  void accept(Yield Accepting) {
    while (true) {
      auto Pair = std::make_shared<Sockets>(Loop);
      boost::system::error_code Failure;
      Acceptor.async_accept(Pair->Near, Accepting[Failure]);
      if (Failure) {
        return;
      }
      own(Pair->Near);
      Pairs.insert(Pair);
      boost::asio::spawn(Strand,
                         [this, Pair](Yield Serving) { serve(Pair, Serving); });
    }
  }

  void serve(const std::shared_ptr<Sockets> &Pair, Yield Serving) {
    boost::system::error_code Failure;
    Pair->Far.open(tcp::v4(), Failure);
    own(Pair->Far);
    Pair->Far.async_connect(loopback(To), Serving[Failure]);
    if (Failure) {
      reset(*Pair);
    } else {
      boost::asio::spawn(Strand, [Pair](Yield Copying) {
        copy(*Pair, Pair->Far, Pair->Near, Copying);
      });
      copy(*Pair, Pair->Near, Pair->Far, Serving);
    }
    Pairs.erase(Pair);
  }

  static void copy(Sockets &Pair, tcp::socket &From, tcp::socket &Into,
                   Yield Copying) {
    std::array<char, 8'192> Bytes{};
    boost::system::error_code Failure;
    while (!Failure) {
      const auto Count =
          From.async_read_some(boost::asio::buffer(Bytes), Copying[Failure]);
      if (!Failure) {
        boost::asio::async_write(Into, boost::asio::buffer(Bytes.data(), Count),
                                 Copying[Failure]);
      }
    }
    if (Failure == boost::asio::error::eof) {
      boost::system::error_code Ignored; // The peer may be gone.
      Into.shutdown(tcp::socket::shutdown_send, Ignored);
    } else {
      reset(Pair);
    }
  }

  static void reset(Sockets &Pair) {
    for (auto *Socket : {&Pair.Near, &Pair.Far}) {
      boost::system::error_code Ignored; // It may be closed already.
      Socket->set_option(boost::asio::socket_base::linger{true, 0}, Ignored);
      Socket->close(Ignored);
    }
  }

  boost::asio::io_context &Loop;
  boost::asio::strand<boost::asio::io_context::executor_type> Strand;
  const std::uint16_t To;
  std::uint16_t Port = 0;
  tcp::acceptor Acceptor;
  std::set<std::shared_ptr<Sockets>> Pairs; ///< Used on the strand only.
};

} // namespace review
