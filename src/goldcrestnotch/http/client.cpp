/// @file
/// The HTTP client, implemented with Boost.Beast.

#include "goldcrestnotch/http/client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/kernel/await.hpp"

namespace goldcrestnotch::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace wire = boost::beast::http;
using tcp = asio::ip::tcp;

namespace internal {

/// Limits how much of a response the kernel buffers while nothing reads it.
static constexpr int SocketBytes = 65'536;
static constexpr std::size_t ReadBytes = 16'384;
static constexpr std::uint64_t BodyBytes = 64ULL * 1024 * 1024;

[[nodiscard]] static Error failed(std::string_view What, const Endpoint &Where,
                                  const boost::system::error_code &Failure,
                                  Verdict V) {
  return Error{502, "target_unreachable",
               std::string{What} + " " + Where.str() + ": " + Failure.message()}
      .withVerdict(V);
}

[[nodiscard]] static wire::request<wire::string_body>
convert(const Request &Asked, const Endpoint &Where) {
  wire::request<wire::string_body> Out;
  Out.version(11);
  Out.method_string(Asked.Method);
  Out.target(Asked.Query.empty() ? Asked.Path : Asked.Path + "?" + Asked.Query);
  Out.set(wire::field::host, Where.str());
  for (const auto &[Name, Value] : Asked.Fields) {
    Out.set(Name, Value);
  }
  Out.body() = Asked.Body;
  Out.prepare_payload();
  return Out;
}

/// @brief A `ClientStream` that owns its connection.
class Connection final : public ClientStream {
public:
  Connection(asio::yield_context Yield, Endpoint Where)
      : Yield{Yield}, Where{std::move(Where)}, Socket{executorOf(Yield)} {
    Parser.body_limit(BodyBytes);
  }

  void connect(Instant Until) {
    boost::system::error_code Failure;
    expire(Until);
    const auto Address = asio::ip::make_address(Where.Address, Failure);
    if (!Failure) {
      const tcp::endpoint Far{Address, Where.Port};
      Socket.socket().open(Far.protocol(), Failure);
    }
    if (!Failure) {
      Socket.socket().set_option(
          asio::socket_base::receive_buffer_size(SocketBytes), Failure);
      Socket.async_connect(tcp::endpoint{Address, Where.Port}, Yield[Failure]);
    }
    if (Failure) {
      throw failed("cannot connect to", Where, Failure, Verdict::NotRun);
    }
    Socket.socket().set_option(tcp::no_delay(true), Failure);
  }

  void ask(const Request &Asked, Instant Until) {
    boost::system::error_code Failure;
    auto Message = convert(Asked, Where);
    expire(Until);
    wire::async_write(Socket, Message, Yield[Failure]);
    if (!Failure) {
      wire::async_read_header(Socket, Buffer, Parser, Yield[Failure]);
    }
    if (Failure) {
      throw failed("no response from", Where, Failure, Verdict::MayHaveRun);
    }
    Head.Status = static_cast<int>(Parser.get().result_int());
    for (const auto &Field : Parser.get()) {
      Head.Fields.insert_or_assign(std::string{Field.name_string()},
                                   std::string{Field.value()});
    }
  }

  [[nodiscard]] const Response &head() const noexcept override { return Head; }

  [[nodiscard]] std::optional<std::string> read(Instant Until) override {
    if (Parser.is_done()) {
      return std::nullopt;
    }
    std::string Piece(ReadBytes, '\0');
    Parser.get().body().data = Piece.data();
    Parser.get().body().size = Piece.size();
    boost::system::error_code Failure;
    expire(Until);
    wire::async_read_some(Socket, Buffer, Parser, Yield[Failure]);
    if (Failure && Failure != wire::error::need_buffer) {
      throw failed("incomplete response from", Where, Failure,
                   Verdict::MayHaveRun);
    }
    Piece.resize(Piece.size() - Parser.get().body().size);
    return Piece;
  }

private:
  void expire(Instant Until) {
    const auto Left = Until - DecisionClock::now();
    Socket.expires_after(std::max(Left, Millis{1}));
  }

  asio::yield_context Yield;
  Endpoint Where;
  beast::basic_stream<tcp> Socket;
  beast::flat_buffer Buffer;
  wire::response_parser<wire::buffer_body> Parser;
  Response Head;
};

} // namespace internal

std::unique_ptr<ClientStream> Client::open(const Request &Asked,
                                           Instant Until) {
  auto Opened = std::make_unique<internal::Connection>(Yield, Where);
  Opened->connect(std::min(Until, ConnectUntil));
  Opened->ask(Asked, Until);
  return Opened;
}

Response Client::send(const Request &Asked, Instant Until) {
  const auto Opened = open(Asked, Until);
  Response Answer = Opened->head();
  while (auto Piece = Opened->read(Until)) {
    Answer.Body += *Piece;
  }
  return Answer;
}

} // namespace goldcrestnotch::http
