/// @file
/// Reading of requests and writing of responses with Boost.Beast.

#include "goldcrestnotch/proxy/caller_connection.hpp"

#include <array>
#include <utility>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http.hpp>

#include "goldcrestnotch/http/framing.hpp"

namespace goldcrestnotch::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace wire = boost::beast::http;
using asio::ip::tcp;

namespace internal {

/// Size of the read that waits for a new request.
static constexpr std::size_t FirstReadBytes = 4'096;
/// A body is held as it was received and as it is sent to a target.
static constexpr std::size_t BodyCopies = 2;
static constexpr unsigned Http11 = 11;
static constexpr int StatusNoContent = 204;
static constexpr int StatusNotModified = 304;

/// @brief Copies the header fields of a response, except those that apply to
/// one connection only and the content length.
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

/// @brief Whether bytes may follow the head of a response to a request. A
/// caller would take them for the next response if they may not.
[[nodiscard]] static bool responseHasBody(const WireRequest &Request,
                                          int Status) {
  return Request.method() != wire::verb::head && Status != StatusNoContent &&
         Status != StatusNotModified;
}

/// @brief Classifies an error of reading a request.
[[nodiscard]] static ReadResult
resultOf(const boost::system::error_code &Failure) {
  if (Failure == wire::error::header_limit ||
      Failure == wire::error::buffer_overflow) {
    return ReadResult::HeadTooLarge;
  }
  if (Failure == wire::error::body_limit) {
    return ReadResult::BodyTooLarge;
  }
  const bool IsParserError =
      Failure.category() ==
          wire::make_error_code(wire::error::bad_method).category() &&
      Failure != wire::error::end_of_stream &&
      Failure != wire::error::partial_message;
  return IsParserError ? ReadResult::Malformed : ReadResult::Closed;
}

} // namespace internal

ReadResult CallerConnection::read(asio::yield_context Yield,
                                  const routing::CallerLimits &Limits,
                                  const LoopDelay &Delay) {
  boost::system::error_code Failure;
  Started = false;
  Finished = false;
  Current = Buffer.size() == 0 ? Phase::Idle : Phase::Receiving;
  releaseRequest(); // An idle connection holds no memory for it.
  Buffer.admit(Limits.MaxHeaderBytes);
  if (Buffer.size() == 0) {
    ReadTimeout.expiresAt(DecisionClock::now() + Limits.IdleTimeout);
    const auto Count = Socket.async_read_some(
        Buffer.prepare(internal::FirstReadBytes), Yield[Failure]);
    Buffer.commit(Count);
    if (Failure) {
      return ReadResult::Closed;
    }
    Current = Phase::Receiving;
  }
  Parser Received;
  Received.header_limit(Limits.MaxHeaderBytes);
  Received.body_limit(Limits.MaxBodyBytes);
  ReadTimeout.expiresAt(DecisionClock::now() + Limits.HeaderTimeout);
  wire::async_read_header(Socket, Buffer, Received, Yield[Failure]);
  Arrival = Delay.arrival(DecisionClock::now(), std::exchange(First, false));
  ReadTimeout.expiresAt(DecisionClock::now() + Limits.IdleTimeout);
  auto Result = ReadResult::Malformed;
  if (Failure) {
    Result = internal::resultOf(Failure);
  } else if (http::hasDefinedLength(Received.get(), Received.get().version())) {
    Result = readBody(Yield, Received);
  }
  ReadTimeout.expiresNever();
  if (ReadTimeout.expired()) {
    Result = ReadResult::TimedOut;
  }
  if (Interrupted && Result == ReadResult::Closed) {
    Result = ReadResult::ShuttingDown;
  }
  if (Result != ReadResult::Complete) {
    Interrupted = true; // Only a refusal is left to send.
    KeepAlive = false;
    return Result;
  }
  Current = Phase::Responding;
  KeepAlive = KeepAlive && Received.get().keep_alive();
  Request = Received.release();
  return Result;
}

void CallerConnection::interruptRead() {
  if (Current == Phase::Receiving && !std::exchange(Interrupted, true)) {
    Socket.cancel();
  }
}

bool CallerConnection::receiving() {
  return Current == Phase::Receiving || (Current == Phase::Idle && unread());
}

ReadResult CallerConnection::readBody(asio::yield_context Yield,
                                      Parser &Received) {
  boost::system::error_code Failure;
  while (!Failure && !Received.is_done()) {
    wire::async_read_some(Socket, Buffer, Received, Yield[Failure]);
    if (!RequestShare.resize(internal::BodyCopies *
                             Received.get().body().size())) {
      return ReadResult::BuffersFull;
    }
  }
  return Failure ? internal::resultOf(Failure) : ReadResult::Complete;
}

void CallerConnection::watch(std::function<void()> Callback) {
  OnGone = std::move(Callback);
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
                               if (Self->checkGone() && Self->OnGone) {
                                 Self->OnGone();
                               }
                             });
}

bool CallerConnection::checkGone() {
  char Byte = 0;
  boost::system::error_code Failure;
  Socket.socket().non_blocking(true, Failure);
  const auto Count = Socket.socket().receive(
      asio::buffer(&Byte, 1), tcp::socket::message_peek, Failure);
  const bool Closed =
      Failure ? Failure != asio::error::would_block : Count == 0;
  Gone = Gone || Closed;
  return Gone;
}

bool CallerConnection::unread() {
  boost::system::error_code Failure;
  return Socket.socket().available(Failure) > 0;
}

void CallerConnection::releaseRequest() {
  Request = WireRequest{};
  (void)RequestShare.resize(0);
}

int CallerConnection::unacknowledged() {
  int Count = 0;
  return ::ioctl(Socket.socket().native_handle(), SIOCOUTQ, &Count) == 0 ? Count
                                                                         : 0;
}

void CallerConnection::unwatch() { OnGone = nullptr; }

void CallerConnection::reply(asio::yield_context Yield, int Status,
                             const WireFields &Fields, std::string_view Body,
                             Instant Deadline) {
  Started = true;
  wire::response<wire::span_body<const char>> Message;
  Message.version(11);
  Message.result(static_cast<unsigned>(Status));
  internal::copyFields(Fields, Message);
  Message.keep_alive(KeepAlive);
  Message.body() = {Body.data(), Body.size()};
  Message.prepare_payload();
  wire::response_serializer<wire::span_body<const char>> Serializer{Message};
  Socket.expires_at(toSteadyTime(Deadline));
  if (internal::responseHasBody(Request, Status)) {
    wire::async_write(Socket, Serializer, Yield);
  } else {
    wire::async_write_header(Socket, Serializer, Yield);
  }
  Socket.expires_never();
  Finished = true;
}

void CallerConnection::start(asio::yield_context Yield, int Status,
                             const WireFields &Fields, Instant Deadline) {
  Started = true;
  if (!internal::responseHasBody(Request, Status)) {
    Form = BodyForm::None;
  } else if (Request.version() >= internal::Http11) {
    Form = BodyForm::Chunked;
  } else {
    Form = BodyForm::UntilClose;
    KeepAlive = false;
  }
  wire::response<wire::empty_body> Message;
  Message.version(11);
  Message.result(static_cast<unsigned>(Status));
  internal::copyFields(Fields, Message);
  Message.keep_alive(KeepAlive);
  Message.chunked(Form == BodyForm::Chunked);
  wire::response_serializer<wire::empty_body> Serializer{Message};
  Socket.expires_at(toSteadyTime(Deadline));
  wire::async_write_header(Socket, Serializer, Yield);
}

void CallerConnection::write(asio::yield_context Yield, std::string_view Piece,
                             Instant Deadline) {
  if (Piece.empty() || Form == BodyForm::None) {
    return;
  }
  Socket.expires_at(toSteadyTime(Deadline));
  const auto Bytes = asio::buffer(Piece.data(), Piece.size());
  if (Form == BodyForm::Chunked) {
    asio::async_write(Socket, wire::make_chunk(Bytes), Yield);
  } else {
    asio::async_write(Socket, Bytes, Yield);
  }
}

void CallerConnection::finish(asio::yield_context Yield, Instant Deadline) {
  Socket.expires_at(toSteadyTime(Deadline));
  if (Form == BodyForm::Chunked) {
    asio::async_write(Socket, wire::make_chunk_last(), Yield);
  }
  Socket.expires_never();
  Finished = true;
}

void CallerConnection::abort() {
  KeepAlive = false;
  // The connection is closed even if the option cannot be set.
  boost::system::error_code Ignored;
  Socket.socket().set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close();
}

} // namespace goldcrestnotch::proxy
