/// @file
/// Forwards bytes between the two sockets of each connection and applies the
/// current fault mode.

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

constexpr std::chrono::milliseconds RecheckInterval{10};

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
    for (const auto &Pair : Connections) {
      close(*Pair);
    }
    Connections.clear();
  });
}

void FaultyLink::accept(asio::yield_context Yield) {
  while (true) {
    auto Pair = std::make_shared<ConnectionPair>(Context);
    boost::system::error_code Error;
    Acceptor.async_accept(Pair->Client, Yield[Error]);
    if (Error) {
      return;
    }
    if (CurrentMode == Mode::Refuse) {
      close(*Pair);
      continue;
    }
    Connections.insert(Pair);
    asio::spawn(Strand, [this, Pair](asio::yield_context ForwardYield) {
      boost::system::error_code ConnectFailure;
      Pair->Upstream.async_connect(loopback(Target),
                                   ForwardYield[ConnectFailure]);
      if (ConnectFailure) {
        close(*Pair);
        return;
      }
      asio::spawn(Strand, [this, Pair](asio::yield_context BackwardYield) {
        pump(Pair, false, BackwardYield);
      });
      pump(Pair, true, ForwardYield);
      Connections.erase(Pair);
    });
  }
}

void FaultyLink::pump(const std::shared_ptr<ConnectionPair> &Pair, bool Forward,
                      asio::yield_context Yield) {
  auto &Source = Forward ? Pair->Client : Pair->Upstream;
  auto &Destination = Forward ? Pair->Upstream : Pair->Client;
  asio::steady_timer Timer{Context};
  std::array<char, 16'384> Buffer{};
  boost::system::error_code Error;
  while (!Error) {
    const auto Count = Source.async_read_some(
        asio::buffer(Buffer.data(),
                     CurrentMode == Mode::Narrow ? NarrowBytes : Buffer.size()),
        Yield[Error]);
    while (Source.is_open() && (CurrentMode == Mode::Stalled ||
                                (CurrentMode == Mode::OneWay && !Forward))) {
      Timer.expires_after(RecheckInterval);
      Timer.async_wait(Yield);
    }
    if (CurrentMode == Mode::Slow || CurrentMode == Mode::Narrow) {
      Timer.expires_after(std::chrono::milliseconds{SlowMs});
      Timer.async_wait(Yield);
    }
    if (Error) {
      break;
    }
    asio::async_write(Destination, asio::buffer(Buffer.data(), Count),
                      Yield[Error]);
  }
  boost::system::error_code Ignored; // The other direction may have closed it.
  Destination.shutdown(tcp::socket::shutdown_send, Ignored);
}

void FaultyLink::close(ConnectionPair &Pair) {
  boost::system::error_code Ignored; // Either socket may be closed already.
  Pair.Client.set_option(asio::socket_base::linger{true, 0}, Ignored);
  Pair.Client.close(Ignored);
  Pair.Upstream.close(Ignored);
}

} // namespace standin
