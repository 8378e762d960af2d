/// @file
/// The machine of a replica that can lose its power: it then answers nothing,
/// not even a new connection, and is back after a while.

#pragma once

#include <array>
#include <atomic>
#include <memory>
#include <set>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

namespace review {

/// @brief Forwards connections to a replica while the machine has power.
class DarkMachine {
public:
  DarkMachine(boost::asio::io_context &Context, std::uint16_t Target)
      : Context{Context}, Strand{Context.get_executor()},
        Acceptor{Context, Endpoint{loopback(), 0}}, Target{Target} {
    boost::asio::spawn(
        Strand, [this](boost::asio::yield_context Yield) { accept(Yield); });
  }

  [[nodiscard]] std::uint16_t port() const {
    return Acceptor.local_endpoint().port();
  }
  [[nodiscard]] bool dark() const noexcept { return Dark; }

  /// @brief Takes the power away. Nothing more is sent, and the queue of new
  /// connections is full, so that the kernel drops what opens one.
  void switchOff() {
    Dark = true;
    boost::asio::post(Strand, [this] {
      boost::system::error_code Ignored; // The queue may be full already.
      Acceptor.cancel(Ignored);
      Acceptor.listen(0, Ignored);
      for (auto &Filler : Fillers) {
        Filler = std::make_unique<Socket>(Context);
        Filler->async_connect({loopback(), port()},
                              [](const boost::system::error_code &) {});
      }
    });
  }
  /// @brief Gives the power back. The machine knows no connection of before.
  void switchOn() {
    boost::asio::post(Strand, [this] {
      boost::system::error_code Ignored;
      for (auto &Filler : Fillers) {
        Filler.reset();
      }
      for (const auto &Open : Connections) {
        reset(Open->Client);
        reset(Open->Upstream);
      }
      Connections.clear();
      Acceptor.listen(Socket::max_listen_connections, Ignored);
      Dark = false;
    });
  }

private:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  using Socket = boost::asio::ip::tcp::socket;

  struct Pair {
    explicit Pair(boost::asio::io_context &Context)
        : Client{Context}, Upstream{Context} {}
    Socket Client;
    Socket Upstream;
  };

  [[nodiscard]] static boost::asio::ip::address loopback() {
    return boost::asio::ip::address_v4::loopback();
  }

  static void reset(Socket &Closed) {
    boost::system::error_code Ignored; // It may be closed already.
    Closed.set_option(boost::asio::socket_base::linger{true, 0}, Ignored);
    Closed.close(Ignored);
  }

  void accept(boost::asio::yield_context Yield) {
    boost::asio::steady_timer Timer{Context};
    while (true) {
      boost::system::error_code Failure;
      auto Open = std::make_shared<Pair>(Context);
      if (!Dark) {
        Acceptor.async_accept(Open->Client, Yield[Failure]);
      }
      if (Failure || Dark) {
        Timer.expires_after(std::chrono::milliseconds{5});
        Timer.async_wait(Yield[Failure]);
        continue;
      }
      Connections.insert(Open);
      boost::asio::spawn(Strand, [this, Open](boost::asio::yield_context Way) {
        forward(Open, Way);
      });
    }
  }

  void forward(const std::shared_ptr<Pair> &Open,
               boost::asio::yield_context Yield) {
    boost::system::error_code Failure;
    Open->Upstream.async_connect({loopback(), Target}, Yield[Failure]);
    if (Failure) {
      reset(Open->Client);
      return;
    }
    boost::asio::spawn(Strand, [this, Open](boost::asio::yield_context Back) {
      pump(Open->Upstream, Open, Open->Client, Back);
    });
    pump(Open->Client, Open, Open->Upstream, Yield);
  }

  void pump(Socket &From, const std::shared_ptr<Pair> &Open, Socket &To,
            boost::asio::yield_context Yield) {
    std::array<char, 16'384> Bytes{};
    boost::system::error_code Failure;
    while (!Failure) {
      const auto Count =
          From.async_read_some(boost::asio::buffer(Bytes), Yield[Failure]);
      if (Dark) {
        return; // Whatever it was, nobody hears of it.
      }
      if (!Failure) {
        boost::asio::async_write(To, boost::asio::buffer(Bytes.data(), Count),
                                 Yield[Failure]);
      }
    }
    if (!Dark) {
      boost::system::error_code Ignored; // It may be closed already.
      To.shutdown(Socket::shutdown_send, Ignored);
      Connections.erase(Open);
    }
  }

  boost::asio::io_context &Context;
  boost::asio::strand<boost::asio::io_context::executor_type> Strand;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::uint16_t Target;
  std::atomic<bool> Dark{false};
  std::set<std::shared_ptr<Pair>> Connections;    ///< Used on the strand only.
  std::array<std::unique_ptr<Socket>, 3> Fillers; ///< Used on the strand only.
};

} // namespace review
