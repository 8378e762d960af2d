/// @file
/// TCP relay: each connection has two coroutines, one for each direction.

#include "relay.hpp"

#include <array>

#include <boost/asio/buffer.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

#include "goldcrestnotch/http/message.hpp"

namespace scenario {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t PumpBytes = 16'384;
constexpr std::chrono::milliseconds ModePollInterval{5};

tcp::endpoint endpointOf(const std::string &Address) {
  const auto Parsed = goldcrestnotch::http::Endpoint::parse(Address);
  return {asio::ip::make_address(Parsed.Address), Parsed.Port};
}

} // namespace

struct Relay::Connection {
  tcp::socket ClientSide;
  tcp::socket ServerSide;
  std::uint64_t Generation = 0;
};

Relay::Relay(asio::io_context &Context, const std::string &Address)
    : Context{Context}, Acceptor{Context,
                                 tcp::endpoint{
                                     asio::ip::make_address("127.0.0.1"), 0}},
      Upstream{endpointOf(Address)}, Port{Acceptor.local_endpoint().port()} {}

void Relay::start() { accept(); }

void Relay::aim(const std::string &Address) { Upstream = endpointOf(Address); }

void Relay::set(RelayMode NewMode) {
  if (NewMode == RelayMode::Stale) {
    ++Generation;
    NewMode = RelayMode::Pass;
  }
  Mode = NewMode;
}

void Relay::accept() {
  auto Self = shared_from_this();
  Acceptor.async_accept(
      asio::make_strand(Context),
      [Self](boost::system::error_code Failure, tcp::socket ClientSide) {
        if (Failure) {
          return;
        }
        if (Self->Mode != RelayMode::Drop) {
          Self->connect(std::move(ClientSide));
        }
        Self->accept();
      });
}

void Relay::connect(tcp::socket ClientSide) {
  auto Executor = ClientSide.get_executor();
  auto Sockets = std::make_shared<Connection>(
      Connection{std::move(ClientSide), tcp::socket{Executor}, Generation});
  auto Self = shared_from_this();
  Sockets->ServerSide.async_connect(
      Upstream, [Self, Sockets](const boost::system::error_code &Failure) {
        if (!Failure) {
          boost::system::error_code Ignored;
          Sockets->ClientSide.set_option(tcp::no_delay(true), Ignored);
          Sockets->ServerSide.set_option(tcp::no_delay(true), Ignored);
          Self->pump(Sockets, true);
          Self->pump(Sockets, false);
        }
      });
}

void Relay::pump(const std::shared_ptr<Connection> &Sockets, bool ToServer) {
  auto Self = shared_from_this();
  auto &From = ToServer ? Sockets->ClientSide : Sockets->ServerSide;
  asio::spawn(From.get_executor(), [Self, Sockets,
                                    ToServer](asio::yield_context Yield) {
    auto &In = ToServer ? Sockets->ClientSide : Sockets->ServerSide;
    auto &Out = ToServer ? Sockets->ServerSide : Sockets->ClientSide;
    asio::steady_timer Timer{In.get_executor()};
    std::array<char, PumpBytes> Buffer{};
    boost::system::error_code Failure;
    while (!Failure) {
      const auto Size =
          In.async_read_some(asio::buffer(Buffer), Yield[Failure]);
      const auto Blocked = [&] {
        return Self->Mode == RelayMode::Silent ||
               Sockets->Generation != Self->Generation;
      };
      while (Blocked() && Self->Mode != RelayMode::Drop) {
        Timer.expires_after(ModePollInterval);
        Timer.async_wait(Yield);
      }
      if (Self->Mode == RelayMode::Drop) {
        break;
      }
      if (Self->DelayMillis > 0) {
        Timer.expires_after(std::chrono::milliseconds{Self->DelayMillis});
        Timer.async_wait(Yield);
      }
      if (Size > 0) {
        boost::system::error_code WriteFailure;
        asio::async_write(Out, asio::buffer(Buffer.data(), Size),
                          Yield[WriteFailure]);
        Failure = WriteFailure ? WriteFailure : Failure;
      }
    }
    boost::system::error_code Ignored;
    Sockets->ClientSide.close(Ignored);
    Sockets->ServerSide.close(Ignored);
  });
}

} // namespace scenario
