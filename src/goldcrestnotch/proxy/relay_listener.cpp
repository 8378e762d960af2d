/// @file
/// Serving of relay requests.

#include "goldcrestnotch/proxy/relay_listener.hpp"

#include <array>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/proxy/relay_message.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch::proxy {

namespace asio = boost::asio;
namespace wire = boost::beast::http;
using asio::ip::tcp;

namespace internal {

static constexpr Millis AcceptPause{20};
/// Time to receive a relay request and to send its answer.
static constexpr Millis HeadTimeout{1'000};
/// A tunnel without a byte in this time has been forgotten by its ends.
static constexpr Millis IdleTimeout{30'000};
static constexpr std::uint32_t MaxHeadBytes = 4'096;
static constexpr std::size_t CopyBytes = 8'192;

static void reset(TargetConnection &Connection) {
  // The connection is closed even if the option can't be set.
  boost::system::error_code Ignored;
  Connection.Socket.socket().set_option(asio::socket_base::linger(true, 0),
                                        Ignored);
  Connection.Socket.close();
}

} // namespace internal

RelayListener::RelayListener(ProxyContext &Context, TargetPaths &Paths,
                             const http::Endpoint &Where,
                             std::size_t MaxTunnels)
    : Context{Context}, Paths{Paths}, Acceptor{Context.Loop}, MaxTunnels{
                                                                  MaxTunnels} {
  const tcp::endpoint Local{asio::ip::make_address(Where.Address), Where.Port};
  Acceptor.open(Local.protocol());
  Acceptor.set_option(asio::socket_base::reuse_address(true));
  Acceptor.bind(Local);
  Acceptor.listen();
}

void RelayListener::start() {
  asio::spawn(Context.Loop,
              [this](asio::yield_context Yield) { accept(Yield); });
}

void RelayListener::accept(asio::yield_context Yield) {
  asio::steady_timer Timer{Context.Loop};
  while (true) {
    auto Client = std::make_shared<TargetConnection>(Context.Loop);
    boost::system::error_code Failure;
    Acceptor.async_accept(Client->Socket.socket(), Yield[Failure]);
    if (Failure) {
      Context.Measured.count("accept_pauses_total");
      Timer.expires_after(internal::AcceptPause);
      Timer.async_wait(Yield);
      continue;
    }
    asio::spawn(Context.Loop, [this, Client](asio::yield_context Serving) {
      ++Tunnels;
      try {
        serve(Client, Serving);
      } catch (const std::exception &Failed) {
        log(LogLevel::Error, "relay.failed",
            {{"cause", std::string{Failed.what()}}});
      }
      --Tunnels;
    });
  }
}

int RelayListener::connect(const ConnectionPointer &Client,
                           ConnectionPointer &Opened,
                           asio::yield_context Yield) {
  wire::request_parser<wire::empty_body> Received;
  Received.header_limit(internal::MaxHeadBytes);
  boost::system::error_code Failure;
  wire::async_read_header(Client->Socket, Client->Buffer, Received,
                          Yield[Failure]);
  const auto Wanted =
      Failure ? std::nullopt : decodeRelayRequest(Received.get());
  if (!Wanted) {
    return RelayMalformed;
  }
  const auto Now = DecisionClock::now();
  if (Paths.cutOff()) {
    return RelayCutOff;
  }
  if (Tunnels > MaxTunnels || Context.Shutdown ||
      Context.Delay.current(Now) > MaxLoopDelay) {
    return RelayBusy;
  }
  const auto Target = Context.Targets.find(Wanted->Name);
  const bool Current = !Context.AwaitTargetView ||
                       Context.AwaitTargetView(Yield, Instant::max());
  if (!Target || Target->Registered.Incarnation != Wanted->Incarnation ||
      !Current || !Target->accepts(DecisionClock::now())) {
    return RelayTargetUnwanted;
  }
  try {
    Opened = Paths.openForOther(Yield, Target->Registered);
  } catch (const Error &Unreachable) {
    if (Unreachable.code() == TargetPaths::CutOff) {
      return RelayCutOff;
    }
    return Unreachable.code() == ConnectionPool::RefusedConnection
               ? RelayTargetRefused
               : RelayTargetSilent;
  }
  return Target->accepts(DecisionClock::now()) ? RelayConnected
                                               : RelayTargetUnwanted;
}

void RelayListener::serve(const ConnectionPointer &Client,
                          asio::yield_context Yield) {
  Client->Timeout.expiresAt(DecisionClock::now() + internal::HeadTimeout);
  ConnectionPool::setOptions(*Client);
  ConnectionPointer Target;
  const int Status = connect(Client, Target, Yield);
  Context.Measured.count("relay_requests_total{status=\"" +
                         std::to_string(Status) + "\"}");
  wire::response<wire::empty_body> Answer;
  Answer.version(11);
  Answer.result(static_cast<unsigned>(Status));
  boost::system::error_code Failure;
  wire::async_write(Client->Socket, Answer, Yield[Failure]);
  if (Failure || Status != RelayConnected) {
    Client->Timeout.expiresNever();
    return;
  }
  asio::spawn(Context.Loop,
              [this, Client, Target](asio::yield_context Copying) {
                copy(Target, Client, Copying);
              });
  copy(Client, Target, Yield);
  Client->Timeout.expiresNever();
  Target->Timeout.expiresNever();
}

void RelayListener::copy(const ConnectionPointer &From,
                         const ConnectionPointer &To,
                         asio::yield_context Yield) {
  std::array<char, internal::CopyBytes> Bytes{};
  boost::system::error_code Failure;
  // Bytes may have arrived together with the head of the request.
  if (From->Buffer.size() > 0) {
    asio::async_write(To->Socket, From->Buffer.data(), Yield[Failure]);
    From->Buffer.consume(From->Buffer.size());
  }
  while (!Failure) {
    From->Timeout.expiresAt(DecisionClock::now() + internal::IdleTimeout);
    const auto Count =
        From->Socket.async_read_some(asio::buffer(Bytes), Yield[Failure]);
    if (!Failure) {
      asio::async_write(To->Socket, asio::buffer(Bytes.data(), Count),
                        Yield[Failure]);
    }
  }
  if (Failure != asio::error::eof) {
    internal::reset(*To);
  }
  // The end of either side ends both: a caller that leaves must not leave a
  // target at work.
  boost::system::error_code Ignored; // It may be closed already.
  To->Socket.socket().shutdown(tcp::socket::shutdown_both, Ignored);
  From->Socket.close();
}

} // namespace goldcrestnotch::proxy
