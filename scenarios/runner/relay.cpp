/// @file
/// The relay: two pumps a connection.

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
constexpr std::chrono::milliseconds ModePoll{5};

tcp::endpoint endpointOf(const std::string &Address) {
  const auto Parsed = goldcrestnotch::http::Endpoint::parse(Address);
  return {asio::ip::make_address(Parsed.Address), Parsed.Port};
}

} // namespace

struct Relay::Link {
  tcp::socket Near;
  tcp::socket Far;
  std::uint64_t Era = 0;
};

Relay::Relay(asio::io_context &Context, const std::string &Address)
    : Context{Context}, Acceptor{Context,
                                 tcp::endpoint{
                                     asio::ip::make_address("127.0.0.1"), 0}},
      Far{endpointOf(Address)}, Port{Acceptor.local_endpoint().port()} {}

void Relay::start() { accept(); }

void Relay::aim(const std::string &Address) { Far = endpointOf(Address); }

void Relay::set(RelayMode Next) {
  if (Next == RelayMode::Stale) {
    ++Era;
    Next = RelayMode::Pass;
  }
  Mode = Next;
}

void Relay::accept() {
  auto Self = shared_from_this();
  Acceptor.async_accept(
      asio::make_strand(Context),
      [Self](boost::system::error_code Failure, tcp::socket Near) {
        if (Failure) {
          return;
        }
        if (Self->Mode != RelayMode::Drop) {
          Self->connect(std::move(Near));
        }
        Self->accept();
      });
}

void Relay::connect(tcp::socket Near) {
  auto Executor = Near.get_executor();
  auto Pair =
      std::make_shared<Link>(Link{std::move(Near), tcp::socket{Executor}, Era});
  auto Self = shared_from_this();
  Pair->Far.async_connect(
      Far, [Self, Pair](const boost::system::error_code &Failure) {
        if (!Failure) {
          boost::system::error_code Ignored;
          Pair->Near.set_option(tcp::no_delay(true), Ignored);
          Pair->Far.set_option(tcp::no_delay(true), Ignored);
          Self->pump(Pair, true);
          Self->pump(Pair, false);
        }
      });
}

void Relay::pump(const std::shared_ptr<Link> &Pair, bool Outward) {
  auto Self = shared_from_this();
  auto &From = Outward ? Pair->Near : Pair->Far;
  asio::spawn(From.get_executor(), [Self, Pair,
                                    Outward](asio::yield_context Yield) {
    auto &In = Outward ? Pair->Near : Pair->Far;
    auto &Out = Outward ? Pair->Far : Pair->Near;
    asio::steady_timer Timer{In.get_executor()};
    std::array<char, PumpBytes> Buffer{};
    boost::system::error_code Failure;
    while (!Failure) {
      const auto Got = In.async_read_some(asio::buffer(Buffer), Yield[Failure]);
      const auto Held = [&] {
        return Self->Mode == RelayMode::Silent || Pair->Era != Self->Era;
      };
      while (Held() && Self->Mode != RelayMode::Drop) {
        Timer.expires_after(ModePoll);
        Timer.async_wait(Yield);
      }
      if (Self->Mode == RelayMode::Drop) {
        break;
      }
      if (Self->DelayMillis > 0) {
        Timer.expires_after(std::chrono::milliseconds{Self->DelayMillis});
        Timer.async_wait(Yield);
      }
      if (Got > 0) {
        boost::system::error_code Lost;
        asio::async_write(Out, asio::buffer(Buffer.data(), Got), Yield[Lost]);
        Failure = Lost ? Lost : Failure;
      }
    }
    boost::system::error_code Ignored;
    Pair->Near.close(Ignored);
    Pair->Far.close(Ignored);
  });
}

} // namespace scenario
