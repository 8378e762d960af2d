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

namespace goldcrestnotch::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace wire = boost::beast::http;
using tcp = asio::ip::tcp;

namespace internal {

/// Leaves room for the store's largest response: a configuration of 4 MB,
/// encoded as base64.
static constexpr std::uint64_t MostBody = 16ULL * 1024 * 1024;
/// How long a response that is being received past its deadline may make no
/// progress.
static constexpr Millis StallWait{1'000};
/// How long after its deadline a response is abandoned, even if it still makes
/// progress.
static constexpr Millis LongestLate{10'000};

} // namespace internal

class Session::State {
public:
  State(asio::io_context &Loop, Endpoint Where)
      : Loop{Loop}, Where{std::move(Where)} {}

  [[nodiscard]] Response send(asio::yield_context Yield, const Request &Asked,
                              Instant Until) {
    try {
      if (!Socket) {
        connect(Yield, std::min(Until, ConnectUntil));
      }
      return exchange(Yield, Asked, Until);
    } catch (const Error &) {
      Socket.reset();
      Buffer.clear();
      throw;
    }
  }

  Instant ConnectUntil = Instant::max();

private:
  using Stream = beast::basic_stream<tcp, asio::io_context::executor_type>;

  [[nodiscard]] Error failed(std::string_view What,
                             const boost::system::error_code &Failure,
                             Verdict V) const {
    return Error{503, "endpoint_failed",
                 std::string{What} + " " + Where.str() + ": " +
                     Failure.message()}
        .withVerdict(V);
  }

  void expire(Instant Until) {
    Socket->expires_at(
        std::chrono::steady_clock::time_point{Until.time_since_epoch()});
  }

  void connect(asio::yield_context Yield, Instant Until) {
    Socket.emplace(Loop);
    Buffer.clear();
    boost::system::error_code Failure;
    const auto Address = asio::ip::make_address(Where.Address, Failure);
    expire(Until);
    if (!Failure) {
      Socket->async_connect(tcp::endpoint{Address, Where.Port}, Yield[Failure]);
    }
    if (Failure) {
      throw failed("cannot connect to", Failure, Verdict::NotRun);
    }
    Socket->socket().set_option(tcp::no_delay(true), Failure);
  }

  [[nodiscard]] Response exchange(asio::yield_context Yield,
                                  const Request &Asked, Instant Until) {
    wire::request<wire::string_body> Message;
    Message.version(11);
    Message.method_string(Asked.Method);
    Message.target(Asked.Query.empty() ? Asked.Path
                                       : Asked.Path + "?" + Asked.Query);
    Message.set(wire::field::host, Where.str());
    for (const auto &[Name, Value] : Asked.Fields) {
      Message.set(Name, Value);
    }
    Message.body() = Asked.Body;
    Message.prepare_payload();
    boost::system::error_code Failure;
    expire(Until);
    wire::async_write(*Socket, Message, Yield[Failure]);
    wire::response_parser<wire::string_body> Parser;
    Parser.body_limit(internal::MostBody);
    const auto Last = Until + internal::LongestLate;
    while (!Failure && !Parser.is_done()) {
      wire::async_read_some(*Socket, Buffer, Parser, Yield[Failure]);
      expire(std::max(
          Until, std::min(DecisionClock::now() + internal::StallWait, Last)));
    }
    if (Failure) {
      throw failed("no response from", Failure, Verdict::MayHaveRun);
    }
    Socket->expires_never();
    Response Answer;
    Answer.Status = static_cast<int>(Parser.get().result_int());
    for (const auto &Field : Parser.get()) {
      Answer.Fields.insert_or_assign(std::string{Field.name_string()},
                                     std::string{Field.value()});
    }
    Answer.Body = std::move(Parser.get().body());
    if (!Parser.keep_alive()) {
      Socket.reset();
    }
    return Answer;
  }

  asio::io_context &Loop;
  Endpoint Where;
  std::optional<Stream> Socket;
  beast::flat_buffer Buffer;
};

Session::Session(asio::io_context &Loop, Endpoint Where)
    : Self{std::make_unique<State>(Loop, std::move(Where))} {}

Session::~Session() = default;

void Session::connectBy(Instant Until) noexcept { Self->ConnectUntil = Until; }

Response Session::send(asio::yield_context Yield, const Request &Asked,
                       Instant Until) {
  return Self->send(Yield, Asked, Until);
}

} // namespace goldcrestnotch::http
