/// @file
/// One coroutine a connection.

#include "goldcrestnotch/proxy/listener.hpp"

#include <array>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include "goldcrestnotch/proxy/exchange.hpp"
#include "goldcrestnotch/telemetry/request_log.hpp"

namespace goldcrestnotch::proxy {

namespace asio = boost::asio;
namespace wire = boost::beast::http;
using asio::ip::tcp;

namespace internal {

/// Between two probes of the loop's delay.
static constexpr Millis ProbeEvery{100};
/// Connections taken in one turn: a loop that is behind would otherwise take
/// one a turn, while callers give up after a second.
static constexpr int MostAccepts = 32;
/// Between two looks at a full house, or after a failed accept.
static constexpr Millis AcceptPause{20};
/// For an error's text to be taken by a caller that sent a bad request.
static constexpr Millis ErrorWait{1'000};
static constexpr int MalformedStatus = 400;
static constexpr int BodyTooLargeStatus = 413;
static constexpr int HeadTooLargeStatus = 431;
/// Bytes of a caller on their way at a time: many callers with long prompts
/// must not hold up the store's answers on a narrow link.
static constexpr int CallerBytes = 8'192;

} // namespace internal

Listener::Listener(ProxyContext &Shared, const http::Endpoint &Where,
                   std::size_t MostConnections)
    : Shared{Shared}, Acceptor{Shared.Loop}, MostConnections{MostConnections} {
  const tcp::endpoint Local{asio::ip::make_address(Where.Address), Where.Port};
  Acceptor.open(Local.protocol());
  Acceptor.set_option(asio::socket_base::reuse_address(true));
  Acceptor.set_option(
      asio::socket_base::receive_buffer_size(internal::CallerBytes));
  Acceptor.bind(Local);
  Acceptor.listen();
}

void Listener::start() {
  asio::spawn(Shared.Loop,
              [this](asio::yield_context Yield) { accept(Yield); });
  asio::spawn(Shared.Loop, [this](asio::yield_context Yield) { probe(Yield); });
}

void Listener::probe(asio::yield_context Yield) {
  asio::steady_timer Pause{Shared.Loop};
  while (true) {
    Pause.expires_after(internal::ProbeEvery);
    Pause.async_wait(Yield);
    Shared.Delay.begin(DecisionClock::now());
    asio::post(Shared.Loop, Yield);
    Shared.Delay.end(DecisionClock::now());
  }
}

void Listener::close() {
  boost::system::error_code Ignored; // It is not used again either way.
  Acceptor.close(Ignored);
}

void Listener::accept(asio::yield_context Yield) {
  asio::steady_timer Pause{Shared.Loop};
  while (Acceptor.is_open()) {
    auto From = std::make_shared<CallerConnection>(Shared.Loop);
    boost::system::error_code Failure;
    if (Connections < MostConnections) {
      Acceptor.async_accept(From->stream().socket(), Yield[Failure]);
    }
    if (Failure || Connections >= MostConnections) {
      Shared.Measured.count("accept_pauses_total");
      Pause.expires_after(internal::AcceptPause);
      Pause.async_wait(Yield);
      continue;
    }
    welcome(From);
    acceptReady();
  }
}

void Listener::acceptReady() {
  boost::system::error_code Failure;
  Acceptor.non_blocking(true, Failure);
  for (int I = 0;
       !Failure && I < internal::MostAccepts && Connections < MostConnections;
       ++I) {
    auto From = std::make_shared<CallerConnection>(Shared.Loop);
    Acceptor.accept(From->stream().socket(), Failure);
    if (!Failure) {
      welcome(From);
    }
  }
}

void Listener::welcome(const std::shared_ptr<CallerConnection> &From) {
  boost::system::error_code Ignored; // Costs a delay at most.
  From->stream().socket().set_option(tcp::no_delay(true), Ignored);
  ++Connections;
  asio::spawn(Shared.Loop, [this, From](asio::yield_context Serve) {
    serve(From, Serve);
    --Connections;
  });
}

void Listener::serve(const std::shared_ptr<CallerConnection> &From,
                     asio::yield_context Yield) {
  static const routing::CallerLimits Unconfigured;
  try {
    while (From->keeps()) {
      const auto Table = Shared.Table;
      const auto End = From->read(
          Yield, Table ? Table->source().Limits : Unconfigured, Shared.Delay);
      if (End != ReadEnd::Whole) {
        reject(*From, End, Yield);
        break;
      }
      Exchange{Shared, *From, Yield}.run();
    }
  } catch (const boost::system::system_error &) {
    Shared.Measured.count("caller_connections_lost_total");
  }
  boost::system::error_code Ignored; // It may be closed already.
  From->stream().socket().shutdown(tcp::socket::shutdown_send, Ignored);
  From->stream().close();
}

void Listener::reject(CallerConnection &From, ReadEnd End,
                      asio::yield_context Yield) {
  int Status = 0;
  switch (End) {
  case ReadEnd::Whole:
  case ReadEnd::Closed:
    return;
  case ReadEnd::Malformed:
    Status = internal::MalformedStatus;
    break;
  case ReadEnd::HeadTooLarge:
    Status = internal::HeadTooLargeStatus;
    break;
  case ReadEnd::BodyTooLarge:
    Status = internal::BodyTooLargeStatus;
    break;
  }
  Shared.Measured.count("malformed_requests_total");
  logRequest(false, {{"status", static_cast<std::int64_t>(Status)},
                     {"cause", "malformed_request"}});
  const auto Until = DecisionClock::now() + internal::ErrorWait;
  From.closeAfter();
  From.reply(Yield, Status, WireFields{},
             R"({"error":"the request could not be read"})", Until);
  // Closing with bytes unread would take the answer back on its way.
  boost::system::error_code Failure;
  From.stream().socket().shutdown(tcp::socket::shutdown_send, Failure);
  std::array<char, 4'096> Discarded{};
  From.stream().expires_at(socketTime(Until));
  while (!Failure) {
    From.stream().async_read_some(asio::buffer(Discarded), Yield[Failure]);
  }
}

} // namespace goldcrestnotch::proxy
