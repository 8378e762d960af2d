/// @file
/// The persistent connection, implemented with Boost.Beast.

#include "goldcrestnotch/http/session.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/framing.hpp"
#include "goldcrestnotch/http/idle.hpp"
#include "goldcrestnotch/http/read_buffer.hpp"
#include "goldcrestnotch/http/stream_timeout.hpp"
#include "goldcrestnotch/http/wire_request.hpp"

namespace goldcrestnotch::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace wire = boost::beast::http;
using tcp = asio::ip::tcp;

namespace internal {

/// Leaves room for the store's largest response: a configuration of 4 MB,
/// encoded as base64.
static constexpr std::uint64_t MaxBodyBytes = 16ULL * 1024 * 1024;
/// Largest number of responses that are read for one request: interim ones and
/// the final one.
static constexpr int MaxResponses = MaxInterimResponses + 1;
/// How long a response that is being received past its deadline may make no
/// progress.
static constexpr Millis StallTimeout{1'000};
/// How long after its deadline a response is abandoned, even if it still makes
/// progress.
static constexpr Millis MaxOverrun{10'000};

using Parser = wire::response_parser<wire::string_body>;

[[nodiscard]] static bool isInterim(const Parser &Received) {
  return classify(Received.get()) == ResponseHead::Interim;
}

} // namespace internal

class Session::State {
public:
  State(asio::io_context &Context, Endpoint Remote)
      : Context{Context}, Remote{std::move(Remote)} {}

  [[nodiscard]] Response send(asio::yield_context Yield, const Request &Message,
                              Instant Deadline) {
    try {
      if (!Open || !idle(Open->Socket.socket(), Buffer)) {
        connect(Yield, std::min(Deadline, ConnectDeadline));
      }
      return exchange(Yield, Message, Deadline);
    } catch (const Error &) {
      Open.reset();
      Buffer.clear();
      throw;
    }
  }

  Instant ConnectDeadline = Instant::max();
  Instant FirstByte{}; ///< Of the last response; the epoch if there was none.

private:
  using Stream = beast::basic_stream<tcp, asio::io_context::executor_type>;
  using Parser = internal::Parser;

  struct Connection {
    explicit Connection(asio::io_context &Context) : Socket{Context} {}

    Stream Socket;
    StreamTimeout<Stream> Timeout{Socket};
  };

  [[nodiscard]] Error connectionError(std::string_view Problem,
                                      const boost::system::error_code &Failure,
                                      Verdict Outcome) const {
    return Error{503, "endpoint_failed",
                 std::string{Problem} + " " + Remote.str() + ": " +
                     Failure.message()}
        .withVerdict(Outcome);
  }

  void connect(asio::yield_context Yield, Instant Deadline) {
    Open.emplace(Context);
    Buffer.clear();
    boost::system::error_code Failure;
    const auto Address = asio::ip::make_address(Remote.Address, Failure);
    Open->Timeout.expiresAt(Deadline);
    if (!Failure) {
      Open->Socket.async_connect(tcp::endpoint{Address, Remote.Port},
                                 Yield[Failure]);
    }
    if (Failure) {
      throw connectionError("cannot connect to", Failure, Verdict::NotRun);
    }
    Open->Socket.socket().set_option(tcp::no_delay(true), Failure);
  }

  [[nodiscard]] Response exchange(asio::yield_context Yield,
                                  const Request &Message, Instant Deadline) {
    auto BeastRequest = toWireRequest(Message, Remote);
    boost::system::error_code Failure;
    FirstByte = Instant{};
    Open->Timeout.expiresAt(Deadline);
    wire::async_write(Open->Socket, BeastRequest, Yield[Failure]);
    std::optional<Parser> Received;
    for (int I = 0; !Failure && I < internal::MaxResponses &&
                    (!Received || internal::isInterim(*Received));
         ++I) {
      Received.emplace();
      Received->body_limit(internal::MaxBodyBytes);
      Received->skip(BeastRequest.method() == wire::verb::head);
      Failure = receive(Yield, *Received, Deadline);
    }
    if (!Failure && internal::isInterim(*Received)) {
      Failure = wire::error::bad_status;
    }
    if (Failure) {
      throw connectionError("no response from", Failure, Verdict::MayHaveRun);
    }
    Open->Timeout.expiresNever();
    Response Result;
    Result.Status = static_cast<int>(Received->get().result_int());
    for (const auto &Field : Received->get()) {
      Result.Fields.insert_or_assign(std::string{Field.name_string()},
                                     std::string{Field.value()});
    }
    Result.Body = std::move(Received->get().body());
    if (!Received->keep_alive() || Open->Timeout.expired()) {
      Open.reset();
    }
    return Result;
  }

  /// @brief Reads one response, whose end must be defined by its head.
  [[nodiscard]] boost::system::error_code
  receive(asio::yield_context Yield, Parser &Received, Instant Deadline) {
    boost::system::error_code Failure;
    const auto FinalDeadline = Deadline + internal::MaxOverrun;
    bool HeadChecked = false;
    while (!Failure && !Received.is_done()) {
      wire::async_read_some(Open->Socket, Buffer, Received, Yield[Failure]);
      const auto Now = DecisionClock::now();
      FirstByte = FirstByte == Instant{} ? Now : FirstByte;
      if (!Failure && !HeadChecked && Received.is_header_done()) {
        HeadChecked = true;
        if (classify(Received.get()) == ResponseHead::Invalid) {
          return wire::error::bad_transfer_encoding;
        }
      }
      // Each read moves the timeout, so bytes without a pause would go on.
      if (!Failure && !Received.is_done() && Now >= FinalDeadline) {
        Failure = beast::error::timeout;
      }
      Open->Timeout.expiresAt(std::max(
          Deadline, std::min(Now + internal::StallTimeout, FinalDeadline)));
    }
    return Failure;
  }

  asio::io_context &Context;
  Endpoint Remote;
  std::optional<Connection> Open;
  ReadBuffer Buffer;
};

Session::Session(asio::io_context &Context, Endpoint Remote)
    : Impl{std::make_unique<State>(Context, std::move(Remote))} {}

Session::~Session() = default;

void Session::connectBy(Instant Deadline) noexcept {
  Impl->ConnectDeadline = Deadline;
}

Instant Session::firstByte() const noexcept { return Impl->FirstByte; }

Response Session::send(asio::yield_context Yield, const Request &Message,
                       Instant Deadline) {
  return Impl->send(Yield, Message, Deadline);
}

} // namespace goldcrestnotch::http
