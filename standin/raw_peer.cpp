/// @file
/// Accepts connections one after the other and sends raw bytes.

#include "raw_peer.hpp"

#include <chrono>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace standin {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t MaxBytes = 64U << 20U;
/// Lower limit of what is written at once without pauses. The receiver always
/// has bytes ready then, as from a fast peer.
constexpr std::size_t MinWriteBytes = 64U << 10U;

std::string repeated(const RawBytes &Content) {
  std::string Result = Content.Repeated;
  while (Content.PauseMs == 0 && !Result.empty() &&
         Result.size() < MinWriteBytes) {
    Result += Content.Repeated;
  }
  return Result;
}

} // namespace

std::size_t sendRaw(tcp::socket &Socket, const RawBytes &Content) {
  boost::system::error_code Failure;
  std::size_t Sent = asio::write(Socket, asio::buffer(Content.Begin), Failure);
  const auto Repeated = repeated(Content);
  while (!Failure && !Repeated.empty() && Sent < MaxBytes) {
    std::this_thread::sleep_for(std::chrono::milliseconds{Content.PauseMs});
    Sent += asio::write(Socket, asio::buffer(Repeated), Failure);
  }
  // The other side may have closed the connection already.
  Socket.shutdown(tcp::socket::shutdown_send, Failure);
  Socket.close(Failure);
  return Sent;
}

RawPeer::RawPeer(RawBytes Response, std::string First)
    : Acceptor{Context, tcp::endpoint{asio::ip::address_v4::loopback(), 0}},
      Port{Acceptor.local_endpoint().port()}, Response{std::move(Response)},
      First{std::move(First)}, Server{[this] { serve(); }} {}

RawPeer::~RawPeer() { (void)finish(); }

std::size_t RawPeer::finish() {
  if (Server.joinable()) {
    Ending = true;
    // Wakes the server; it may have ended already.
    boost::system::error_code Ignored;
    tcp::socket{Context}.connect({asio::ip::address_v4::loopback(), Port},
                                 Ignored);
    Server.join();
  }
  return Sent;
}

void RawPeer::serve() {
  while (true) {
    tcp::socket Socket{Context};
    boost::system::error_code Failure;
    Acceptor.accept(Socket, Failure);
    if (Failure || Ending) {
      return;
    }
    const auto ReadHead = [&] {
      std::string Request;
      asio::read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n",
                       Failure);
      return !Failure;
    };
    if (!First.empty() && ReadHead()) {
      asio::write(Socket, asio::buffer(First), Failure);
    }
    if (!Failure && ReadHead()) {
      Sent += sendRaw(Socket, Response);
    }
  }
}

} // namespace standin
