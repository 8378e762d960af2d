/// @file
/// Implementation of one attempt at a target.

#include "goldcrestnotch/proxy/upstream.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "goldcrestnotch/http/framing.hpp"
#include "goldcrestnotch/proxy/wire_text.hpp"

namespace goldcrestnotch::proxy {

namespace asio = boost::asio;
namespace wire = boost::beast::http;

namespace internal {

/// An idle connection is not reused in this last part of the idle timeout that
/// its target states, since the target might close it at the same moment.
static constexpr Millis ReuseMargin{1'000};
/// Time for which a connection may be reused if its target states no idle
/// timeout, or one of at most a second.
static constexpr Millis DefaultReuseTime{150};
/// Largest number of late responses to earlier requests, and of interim
/// responses, that are discarded on one connection.
static constexpr int MaxStaleResponses = 3;
static constexpr std::size_t ReadBufferBytes = 16'384;

/// @brief Whether bytes were received that are no valid response.
[[nodiscard]] static bool
isMalformed(const boost::system::error_code &Failure) {
  return Failure.category() ==
             wire::make_error_code(wire::error::bad_chunk).category() &&
         Failure != wire::error::end_of_stream &&
         Failure != wire::error::partial_message;
}

/// @brief How long a connection may be idle and still be reused, from the
/// `Keep-Alive` header of its target.
[[nodiscard]] static Millis reuseTime(const WireFields &Fields) {
  const auto Text = view(Fields[wire::field::keep_alive]);
  const auto Begin = Text.find("timeout=");
  if (Begin == std::string_view::npos) {
    return DefaultReuseTime;
  }
  // The header states seconds.
  const auto Seconds = parseMillis(Text.substr(Begin + 8));
  return Seconds ? std::max(*Seconds * 1'000 - ReuseMargin, DefaultReuseTime)
                 : DefaultReuseTime;
}

} // namespace internal

Upstream::Upstream(std::shared_ptr<TargetConnection> Connection,
                   WireRequest Request, std::shared_ptr<backend::Target> Target,
                   std::int64_t MaxConnections, asio::yield_context Yield)
    : Connection{std::move(Connection)}, Target{std::move(Target)},
      MaxConnections{MaxConnections}, Yield{Yield},
      Pending{std::make_shared<PendingRequest>()} {
  Pending->Message = std::move(Request);
  ++this->Target->InProgress;
}

void Upstream::send(Instant Deadline) {
  Connection->Timeout.expiresAt(Deadline);
  auto KeptRequest = Pending;
  auto KeptConnection = Connection;
  wire::async_write(Connection->Socket, KeptRequest->Message,
                    [KeptRequest, KeptConnection](
                        const boost::system::error_code &Failure, std::size_t) {
                      KeptRequest->Written = !Failure;
                      KeptRequest->Failed = Failure.failed();
                    });
}

bool Upstream::readHead(const std::string &HeaderName,
                        std::string_view AttemptId) {
  for (int Stale = 0; Stale <= internal::MaxStaleResponses; ++Stale) {
    Response.emplace();
    Response->body_limit(std::numeric_limits<std::uint64_t>::max());
    Response->skip(Pending->Message.method() == wire::verb::head);
    boost::system::error_code Failure;
    wire::async_read_header(Connection->Socket, Connection->Buffer, *Response,
                            Yield[Failure]);
    if (Failure) {
      recordFailure(Failure);
      return false;
    }
    const auto Kind = http::classify(Response->get());
    if (Kind == http::ResponseHead::Invalid) {
      Malformed = true;
      return false;
    }
    if (Kind == http::ResponseHead::Interim) {
      continue;
    }
    const auto EchoedId = Response->get()[HeaderName];
    if (view(EchoedId) == AttemptId) {
      HeadReceived = true;
      return true;
    }
    // A response without an id may belong to an earlier request. If there was
    // none, the target does not name its requests, and no better one follows.
    if (EchoedId.empty() && !Connection->Used) {
      return false;
    }
    std::string Discarded;
    if (!readAll(Discarded, MaxDiscardedBytes) || !Response->keep_alive()) {
      return false;
    }
  }
  return false;
}

void Upstream::recordFailure(const boost::system::error_code &Failure) {
  Malformed = internal::isMalformed(Failure);
  Silent = Connection->Timeout.expired();
  // This VM closes the connection itself when the caller leaves, also between
  // two reads.
  const bool ClosedHere = Failure == asio::error::operation_aborted ||
                          !Connection->Socket.socket().is_open();
  BrokenOff = !Malformed && !Silent && !ClosedHere;
}

bool Upstream::readSome(std::string &Body) {
  ReadBuffer.resize(internal::ReadBufferBytes);
  Response->get().body().data = ReadBuffer.data();
  Response->get().body().size = ReadBuffer.size();
  Response->get().body().more = true;
  boost::system::error_code Failure;
  wire::async_read_some(Connection->Socket, Connection->Buffer, *Response,
                        Yield[Failure]);
  Body.append(ReadBuffer, 0, ReadBuffer.size() - Response->get().body().size);
  if (Failure && Failure != wire::error::need_buffer) {
    recordFailure(Failure);
    return false;
  }
  if (Response->is_done() && endUnproven()) {
    recordFailure(asio::error::eof);
    return false;
  }
  return true;
}

bool Upstream::readAll(std::string &Body, std::size_t MaxBytes) {
  while (!Response->is_done()) {
    if (!readSome(Body) || Body.size() > MaxBytes) {
      return false;
    }
  }
  return true;
}

void Upstream::release(ConnectionPool &Pool) {
  if (std::exchange(Released, true)) {
    return;
  }
  const bool Reusable = HeadReceived && Response->is_done() &&
                        Response->keep_alive() && !Response->need_eof() &&
                        !Connection->Relayed && Pending->Written &&
                        Connection->Buffer.size() == 0;
  if (!Reusable) {
    Connection->Socket.close();
    return;
  }
  Connection->Used = true;
  Connection->ReuseDeadline =
      DecisionClock::now() + internal::reuseTime(fields());
  Pool.release(Target->Registered, Connection, MaxConnections);
}

} // namespace goldcrestnotch::proxy
