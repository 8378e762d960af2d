/// @file
/// Passing bytes on, or not.

#include "faulty_link.hpp"

#include <array>
#include <chrono>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace standin {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds Recheck{10};

tcp::endpoint loopback(std::uint16_t Port) {
  return {asio::ip::address_v4::loopback(), Port};
}

} // namespace

FaultyLink::FaultyLink(asio::io_context &Context, std::uint16_t Target)
    : Context{Context}, Strand{Context.get_executor()},
      Acceptor{Context, loopback(0)}, Target{Target} {
  asio::spawn(Strand, [this](asio::yield_context Yield) { accept(Yield); });
}

void FaultyLink::reset() {
  asio::post(Strand, [this] {
    for (const auto &One : Open) {
      close(*One);
    }
    Open.clear();
  });
}

void FaultyLink::accept(asio::yield_context Yield) {
  while (true) {
    auto Ends = std::make_shared<Pair>(Context);
    boost::system::error_code Failure;
    Acceptor.async_accept(Ends->Near, Yield[Failure]);
    if (Failure) {
      return;
    }
    if (Now == Mode::Refuse) {
      close(*Ends);
      continue;
    }
    Open.insert(Ends);
    asio::spawn(Strand, [this, Ends](asio::yield_context Serve) {
      boost::system::error_code Refused;
      Ends->Far.async_connect(loopback(Target), Serve[Refused]);
      if (Refused) {
        close(*Ends);
        return;
      }
      asio::spawn(Strand, [this, Ends](asio::yield_context Back) {
        pump(Ends, false, Back);
      });
      pump(Ends, true, Serve);
      Open.erase(Ends);
    });
  }
}

void FaultyLink::pump(const std::shared_ptr<Pair> &Ends, bool Forward,
                      asio::yield_context Yield) {
  auto &From = Forward ? Ends->Near : Ends->Far;
  auto &To = Forward ? Ends->Far : Ends->Near;
  asio::steady_timer Pause{Context};
  std::array<char, 16'384> Bytes{};
  boost::system::error_code Failure;
  while (!Failure) {
    const auto Count =
        From.async_read_some(asio::buffer(Bytes), Yield[Failure]);
    while (From.is_open() &&
           (Now == Mode::Silent || (Now == Mode::OneWay && !Forward))) {
      Pause.expires_after(Recheck);
      Pause.async_wait(Yield);
    }
    if (Now == Mode::Slow) {
      Pause.expires_after(std::chrono::milliseconds{SlowMs});
      Pause.async_wait(Yield);
    }
    if (Failure) {
      break;
    }
    asio::async_write(To, asio::buffer(Bytes.data(), Count), Yield[Failure]);
  }
  boost::system::error_code Ignored; // The other pump may have closed it.
  To.shutdown(tcp::socket::shutdown_send, Ignored);
}

void FaultyLink::close(Pair &Ends) {
  boost::system::error_code Ignored; // Each end may be closed already.
  Ends.Near.set_option(asio::socket_base::linger{true, 0}, Ignored);
  Ends.Near.close(Ignored);
  Ends.Far.close(Ignored);
}

} // namespace standin
