/// @file
/// Reading requests and writing answers with Beast.

#include "goldcrestnotch/proxy/caller_link.hpp"

#include <array>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http.hpp>

namespace goldcrestnotch::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace wire = boost::beast::http;
using asio::ip::tcp;

namespace internal {

static constexpr std::size_t FirstRead = 4'096;

/// @brief Copies what belongs to an answer, not to a connection.
static void copyFields(const WireFields &From, WireFields &To) {
  for (const auto &Field : From) {
    switch (Field.name()) {
    case wire::field::connection:
    case wire::field::keep_alive:
    case wire::field::transfer_encoding:
    case wire::field::content_length:
    case wire::field::trailer:
    case wire::field::upgrade:
    case wire::field::te:
    case wire::field::proxy_connection:
      break;
    default:
      To.insert(Field.name(), Field.name_string(), Field.value());
    }
  }
}

[[nodiscard]] static ReadEnd endOf(const boost::system::error_code &Failure) {
  if (Failure == wire::error::header_limit) {
    return ReadEnd::HeadTooLarge;
  }
  if (Failure == wire::error::body_limit) {
    return ReadEnd::BodyTooLarge;
  }
  const bool FromParser =
      Failure.category() ==
          wire::make_error_code(wire::error::bad_method).category() &&
      Failure != wire::error::end_of_stream &&
      Failure != wire::error::partial_message;
  return FromParser ? ReadEnd::Malformed : ReadEnd::Closed;
}

} // namespace internal

ReadEnd CallerLink::read(asio::yield_context Yield,
                         const routing::CallerLimits &Limits,
                         const LoopDelay &Delay) {
  boost::system::error_code Failure;
  Started = false;
  if (Buffer.size() == 0) {
    Socket.expires_after(Limits.IdleTimeout);
    const auto Count = Socket.async_read_some(
        Buffer.prepare(internal::FirstRead), Yield[Failure]);
    Buffer.commit(Count);
    if (Failure) {
      return ReadEnd::Closed;
    }
  }
  wire::request_parser<wire::string_body> Parser;
  Parser.header_limit(Limits.MaxHeaderBytes);
  Parser.body_limit(Limits.MaxBodyBytes);
  Socket.expires_after(Limits.HeaderTimeout);
  wire::async_read_header(Socket, Buffer, Parser, Yield[Failure]);
  Arrival = Delay.arrival(DecisionClock::now(), std::exchange(Fresh, false));
  if (!Failure && !Parser.is_done()) {
    Socket.expires_after(Limits.IdleTimeout);
    wire::async_read(Socket, Buffer, Parser, Yield[Failure]);
  }
  Socket.expires_never();
  if (Failure) {
    Keep = false;
    return internal::endOf(Failure);
  }
  Keep = Keep && Parser.get().keep_alive();
  Asked = Parser.release();
  return ReadEnd::Whole;
}

void CallerLink::watch(std::function<void()> Call) {
  OnGone = std::move(Call);
  if (Watching) {
    return;
  }
  Watching = true;
  auto Self = shared_from_this();
  Socket.socket().async_wait(tcp::socket::wait_read,
                             [Self](const boost::system::error_code &Failure) {
                               Self->Watching = false;
                               if (Failure) {
                                 return;
                               }
                               if (Self->left() && Self->OnGone) {
                                 Self->OnGone();
                               }
                             });
}

bool CallerLink::left() {
  char Byte = 0;
  boost::system::error_code Peek;
  Socket.socket().non_blocking(true, Peek);
  const auto Count = Socket.socket().receive(asio::buffer(&Byte, 1),
                                             tcp::socket::message_peek, Peek);
  const bool Closed = Peek ? Peek != asio::error::would_block : Count == 0;
  Gone = Gone || Closed;
  return Gone;
}

void CallerLink::unwatch() { OnGone = nullptr; }

void CallerLink::reply(asio::yield_context Yield, int Status,
                       const WireFields &Fields, std::string_view Body,
                       Instant Until) {
  Started = true;
  wire::response<wire::span_body<const char>> Message;
  Message.version(11);
  Message.result(static_cast<unsigned>(Status));
  internal::copyFields(Fields, Message);
  Message.keep_alive(Keep);
  Message.body() = {Body.data(), Body.size()};
  Message.prepare_payload();
  Socket.expires_at(socketTime(Until));
  wire::async_write(Socket, Message, Yield);
  Socket.expires_never();
}

void CallerLink::start(asio::yield_context Yield, int Status,
                       const WireFields &Fields, Instant Until) {
  Started = true;
  wire::response<wire::empty_body> Message;
  Message.version(11);
  Message.result(static_cast<unsigned>(Status));
  internal::copyFields(Fields, Message);
  Message.keep_alive(Keep);
  Message.chunked(true);
  wire::response_serializer<wire::empty_body> Serializer{Message};
  Socket.expires_at(socketTime(Until));
  wire::async_write_header(Socket, Serializer, Yield);
}

void CallerLink::write(asio::yield_context Yield, std::string_view Piece,
                       Instant Until) {
  if (Piece.empty()) {
    return;
  }
  Socket.expires_at(socketTime(Until));
  asio::async_write(Socket,
                    wire::make_chunk(asio::buffer(Piece.data(), Piece.size())),
                    Yield);
}

void CallerLink::finish(asio::yield_context Yield, Instant Until) {
  Socket.expires_at(socketTime(Until));
  asio::async_write(Socket, wire::make_chunk_last(), Yield);
  Socket.expires_never();
}

void CallerLink::abort() {
  Keep = false;
  boost::system::error_code Ignored; // The connection ends either way.
  Socket.socket().set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close();
}

} // namespace goldcrestnotch::proxy
