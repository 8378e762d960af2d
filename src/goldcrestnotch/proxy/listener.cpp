/// @file
/// Accepting and serving connections; each connection has its own coroutine.

#include "goldcrestnotch/proxy/listener.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include "goldcrestnotch/core/verdict.hpp"
#include "goldcrestnotch/proxy/exchange.hpp"
#include "goldcrestnotch/proxy/wire_text.hpp"
#include "goldcrestnotch/telemetry/log.hpp"
#include "goldcrestnotch/telemetry/request_log.hpp"

namespace goldcrestnotch::proxy {

namespace asio = boost::asio;
namespace wire = boost::beast::http;
using asio::ip::tcp;

namespace internal {

/// Interval between two probes of the loop's delay.
static constexpr Millis ProbeInterval{100};
/// Largest number of connections that are accepted in one turn of the loop in
/// addition to the first. With only one per turn, an overloaded loop would
/// accept callers too slowly: they give up after a second.
static constexpr int MaxAcceptsPerTurn = 32;
/// Pause after a failed accept, or while the connection limit is reached.
static constexpr Millis AcceptPause{20};
/// Time for a caller that sent an unreadable request to read the response.
static constexpr Millis RejectTimeout{1'000};
/// How long a caller may keep a connection open behind its last response.
static constexpr Millis ReceiptTimeout{1'000};
/// Interval at which is checked what a caller has received of a response,
/// checks without progress after which its connection is closed, and all
/// checks.
static constexpr Millis ReceiptInterval{20};
static constexpr int MaxIdleReceiptChecks = 50;
static constexpr int MaxReceiptChecks = 500;
static constexpr int MalformedStatus = 400;
static constexpr int BodyTooLargeStatus = 413;
static constexpr int HeadTooLargeStatus = 431;
static constexpr int BuffersFullStatus = 503;
/// Seconds after which a caller may send a long request again.
static constexpr const char *BuffersFullRetryAfter = "1";
static constexpr int ShuttingDownStatus = 503;
/// The caller may send the request to another VM at once.
static constexpr const char *ShuttingDownRetryAfter = "0.1";
/// Size of the receive buffer of a connection. It bounds the bytes in flight:
/// many callers with long prompts must not delay the store's responses on a
/// link of low bandwidth.
static constexpr int ReceiveBufferBytes = 8'192;

/// @brief Name of the counter of requests that could not be read.
[[nodiscard]] static const char *counterOf(ReadResult Result) {
  switch (Result) {
  case ReadResult::BuffersFull:
    return "long_requests_refused_total";
  case ReadResult::ShuttingDown:
    return "unread_requests_refused_total";
  case ReadResult::TimedOut:
    return "requests_timed_out_total";
  default:
    return "malformed_requests_total";
  }
}

} // namespace internal

Listener::Listener(ProxyContext &Context, const http::Endpoint &Where,
                   std::size_t MaxConnections)
    : Context{Context}, Acceptor{Context.Loop}, MaxConnections{MaxConnections} {
  const tcp::endpoint Local{asio::ip::make_address(Where.Address), Where.Port};
  Acceptor.open(Local.protocol());
  Acceptor.set_option(asio::socket_base::reuse_address(true));
  Acceptor.set_option(
      asio::socket_base::receive_buffer_size(internal::ReceiveBufferBytes));
  boost::system::error_code Failure;
  Acceptor.bind(Local, Failure);
  if (Failure) {
    throw boost::system::system_error{Failure, "cannot bind " + Where.str()};
  }
  Acceptor.listen();
}

void Listener::start() {
  asio::spawn(Context.Loop,
              [this](asio::yield_context Yield) { accept(Yield); });
  asio::spawn(Context.Loop,
              [this](asio::yield_context Yield) { probe(Yield); });
}

void Listener::probe(asio::yield_context Yield) {
  asio::steady_timer Timer{Context.Loop};
  while (true) {
    const auto Due = DecisionClock::now() + internal::ProbeInterval;
    Timer.expires_at(toSteadyTime(Due));
    Timer.async_wait(Yield);
    const auto Now = DecisionClock::now();
    if (const auto Late = Context.Delay.observeTimer(Due, Now);
        Late > Millis{0}) {
      Context.Measured.count("loop_stalls_total");
      log(LogLevel::Warn, "loop.stalled",
          {{"late_ms", Late.count()},
           {"in_progress", static_cast<std::int64_t>(Context.InProgress)}});
    }
    Context.Delay.beginProbe(Now);
    asio::post(Context.Loop, Yield);
    Context.Delay.endProbe(DecisionClock::now());
  }
}

void Listener::close() {
  // A request of a caller in the accept queue gets a refusal, not a reset.
  while (acceptReady() > 0) {
  }
  boost::system::error_code Ignored; // The acceptor is not used again.
  Acceptor.close(Ignored);
}

std::size_t Listener::receiving() const {
  return static_cast<std::size_t>(
      std::count_if(Connections.begin(), Connections.end(),
                    [](const auto &Caller) { return Caller->receiving(); }));
}

void Listener::refuseReceiving() {
  for (const auto &Caller : Connections) {
    Caller->interruptRead();
  }
}

void Listener::accept(asio::yield_context Yield) {
  asio::steady_timer Timer{Context.Loop};
  while (Acceptor.is_open()) {
    auto Caller =
        std::make_shared<CallerConnection>(Context.Loop, Context.Buffers);
    boost::system::error_code Failure;
    if (Connections.size() < MaxConnections) {
      Acceptor.async_accept(Caller->stream().socket(), Yield[Failure]);
    }
    if (Failure || Connections.size() >= MaxConnections) {
      Context.Measured.count("accept_pauses_total");
      Timer.expires_after(internal::AcceptPause);
      Timer.async_wait(Yield);
      continue;
    }
    startServing(Caller);
    (void)acceptReady();
  }
}

int Listener::acceptReady() {
  int Accepted = 0;
  boost::system::error_code Failure;
  Acceptor.non_blocking(true, Failure);
  for (int I = 0; !Failure && I < internal::MaxAcceptsPerTurn &&
                  Connections.size() < MaxConnections;
       ++I) {
    auto Caller =
        std::make_shared<CallerConnection>(Context.Loop, Context.Buffers);
    Acceptor.accept(Caller->stream().socket(), Failure);
    if (!Failure) {
      startServing(Caller);
      ++Accepted;
    }
  }
  return Accepted;
}

void Listener::startServing(const std::shared_ptr<CallerConnection> &Caller) {
  // Without this option responses are only delayed.
  boost::system::error_code Ignored;
  Caller->stream().socket().set_option(tcp::no_delay(true), Ignored);
  Connections.insert(Caller);
  asio::spawn(Context.Loop, [this, Caller](asio::yield_context Yield) {
    serve(Caller, Yield);
    Connections.erase(Caller);
  });
}

void Listener::serve(const std::shared_ptr<CallerConnection> &Caller,
                     asio::yield_context Yield) {
  static const routing::CallerLimits DefaultLimits;
  try {
    while (Caller->keepAlive()) {
      const auto Table = Context.Table; // Kept alive while its limits are used.
      const auto Result = Caller->read(
          Yield, Table ? Table->source().Limits : DefaultLimits, Context.Delay);
      if (Result != ReadResult::Complete) {
        reject(*Caller, Result, Yield);
        break;
      }
      Exchange{Context, *Caller, Yield}.run();
    }
    awaitReceipt(Caller, Yield);
  } catch (const boost::system::system_error &) {
    Context.Measured.count("caller_connections_lost_total");
  } catch (const std::exception &Failure) {
    log(LogLevel::Error, "connection.failed",
        {{"cause", std::string{Failure.what()}}});
  }
  boost::system::error_code Ignored; // The socket may be closed already.
  Caller->stream().socket().shutdown(tcp::socket::shutdown_send, Ignored);
  Caller->stream().close();
}

void Listener::awaitReceipt(const std::shared_ptr<CallerConnection> &Caller,
                            asio::yield_context Yield) {
  if (!Caller->started() || Caller->unfinished()) {
    return;
  }
  const std::string Request{view(Caller->request()[Context.Headers.AttemptId])};
  Caller->releaseRequest();
  auto &Socket = Caller->stream().socket();
  boost::system::error_code Failure;
  Socket.shutdown(tcp::socket::shutdown_send, Failure);
  ++Closing;
  asio::steady_timer Timer{Context.Loop, internal::ReceiptTimeout};
  Timer.async_wait([Caller](const boost::system::error_code &Cancelled) {
    if (!Cancelled) {
      Caller->stream().cancel();
    }
  });
  while (!Failure && !Caller->checkGone() && !Caller->unread()) {
    Socket.async_wait(tcp::socket::wait_read, Yield[Failure]);
  }
  Timer.cancel();
  if (!Caller->gone() && Caller->unread()) {
    reportUnread(Request);
  }
  // What the caller has sent is left unread, so that it may be sent elsewhere.
  // Checks are counted, not time: this VM may stand still in between.
  auto Unreceived = Caller->unacknowledged();
  for (int Checks = 0, Idle = 0; Unreceived > 0 && !Caller->gone() &&
                                 Checks < internal::MaxReceiptChecks &&
                                 Idle < internal::MaxIdleReceiptChecks;
       ++Checks) {
    Timer.expires_after(internal::ReceiptInterval);
    Timer.async_wait(Yield);
    const auto Before = std::exchange(Unreceived, Caller->unacknowledged());
    Idle = Unreceived < Before ? 0 : Idle + 1;
  }
  --Closing;
}

void Listener::reportUnread(const std::string &Request) {
  Context.Measured.count("connections_closed_unread_total");
  if (const auto Omitted = ClosedUnreadLines.admit(DecisionClock::now())) {
    log(LogLevel::Warn, "connection.closed_unread",
        {{"request", Request}, {"left_out", *Omitted}});
  }
}

void Listener::reject(CallerConnection &Caller, ReadResult Result,
                      asio::yield_context Yield) {
  int Status = 0;
  std::string Cause = "malformed_request";
  WireFields Fields;
  switch (Result) {
  case ReadResult::Complete:
  case ReadResult::Closed:
    return;
  case ReadResult::TimedOut: // The connection is closed already.
    Context.Measured.count(internal::counterOf(Result));
    logRequest(false, {{"status", std::int64_t{0}},
                       {"cause", std::string{"request_timed_out"}}});
    return;
  case ReadResult::Malformed:
    Status = internal::MalformedStatus;
    break;
  case ReadResult::HeadTooLarge:
    Status = internal::HeadTooLargeStatus;
    break;
  case ReadResult::BodyTooLarge:
    Status = internal::BodyTooLargeStatus;
    break;
  case ReadResult::BuffersFull:
    Status = internal::BuffersFullStatus;
    Cause = "buffers_full";
    Fields.set(wire::field::retry_after, internal::BuffersFullRetryAfter);
    break;
  case ReadResult::ShuttingDown:
    Status = internal::ShuttingDownStatus;
    Cause = "shutting_down";
    Fields.set(wire::field::retry_after, internal::ShuttingDownRetryAfter);
    break;
  }
  Context.Measured.count(internal::counterOf(Result));
  if (promisesNotRun(Status)) {
    Context.countRefusal(Status, false);
  }
  logRequest(false,
             {{"status", static_cast<std::int64_t>(Status)}, {"cause", Cause}});
  const auto Deadline = DecisionClock::now() + internal::RejectTimeout;
  Caller.disableKeepAlive();
  Caller.reply(Yield, Status, Fields,
               R"({"error":"the request could not be read"})", Deadline);
  // Closing a socket with unread bytes would reset the connection and could
  // discard the response before the caller has read it.
  boost::system::error_code Failure;
  Caller.stream().socket().shutdown(tcp::socket::shutdown_send, Failure);
  std::array<char, 4'096> Discarded{};
  Caller.stream().expires_at(toSteadyTime(Deadline));
  while (!Failure) {
    Caller.stream().async_read_some(asio::buffer(Discarded), Yield[Failure]);
  }
}

} // namespace goldcrestnotch::proxy
