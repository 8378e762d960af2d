/// @file
/// The HTTP client, implemented with Boost.Beast.

#include "goldcrestnotch/http/client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/framing.hpp"
#include "goldcrestnotch/http/read_buffer.hpp"
#include "goldcrestnotch/http/wire_request.hpp"
#include "goldcrestnotch/kernel/await.hpp"

namespace goldcrestnotch::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace wire = boost::beast::http;
using tcp = asio::ip::tcp;

namespace internal {

/// Limits how much of a response the kernel buffers while nothing reads it.
static constexpr int ReceiveBufferBytes = 65'536;
static constexpr std::size_t ReadChunkBytes = 16'384;
static constexpr std::uint64_t MaxBodyBytes = 64ULL * 1024 * 1024;
/// Largest body that is returned in one piece.
static constexpr std::size_t MaxWholeBodyBytes = 16U << 20U;

[[nodiscard]] static Error
connectionError(std::string_view Problem, const Endpoint &Remote,
                const boost::system::error_code &Failure, Verdict Outcome) {
  return Error{502, "target_unreachable",
               std::string{Problem} + " " + Remote.str() + ": " +
                   Failure.message()}
      .withVerdict(Outcome);
}

/// @brief A `ClientStream` that owns its connection.
class Connection final : public ClientStream {
public:
  Connection(asio::yield_context Yield, Endpoint Remote)
      : Yield{Yield}, Remote{std::move(Remote)}, Socket{executorOf(Yield)} {}

  void connect(Instant Deadline) {
    boost::system::error_code Failure;
    setDeadline(Deadline);
    const auto Address = asio::ip::make_address(Remote.Address, Failure);
    if (!Failure) {
      const tcp::endpoint RemoteEndpoint{Address, Remote.Port};
      Socket.socket().open(RemoteEndpoint.protocol(), Failure);
    }
    if (!Failure) {
      Socket.socket().set_option(
          asio::socket_base::receive_buffer_size(ReceiveBufferBytes), Failure);
      Socket.async_connect(tcp::endpoint{Address, Remote.Port}, Yield[Failure]);
    }
    if (Failure) {
      throw connectionError("cannot connect to", Remote, Failure,
                            Verdict::NotRun);
    }
    Socket.socket().set_option(tcp::no_delay(true), Failure);
  }

  void sendRequest(const Request &Message, Instant Deadline) {
    boost::system::error_code Failure;
    auto BeastRequest = toWireRequest(Message, Remote);
    setDeadline(Deadline);
    wire::async_write(Socket, BeastRequest, Yield[Failure]);
    auto Kind = ResponseHead::Interim;
    for (int I = 0; !Failure && Kind == ResponseHead::Interim; ++I) {
      Parser.emplace();
      Parser->body_limit(MaxBodyBytes);
      Parser->skip(BeastRequest.method() == wire::verb::head);
      wire::async_read_header(Socket, Buffer, *Parser, Yield[Failure]);
      Kind = Failure ? Kind : classify(Parser->get());
      if (Kind == ResponseHead::Invalid || I > MaxInterimResponses) {
        Failure = wire::error::bad_transfer_encoding;
      }
    }
    if (Failure) {
      throw connectionError("no response from", Remote, Failure,
                            Verdict::MayHaveRun);
    }
    Head.Status = static_cast<int>(Parser->get().result_int());
    for (const auto &Field : Parser->get()) {
      Head.Fields.insert_or_assign(std::string{Field.name_string()},
                                   std::string{Field.value()});
    }
  }

  [[nodiscard]] const Response &head() const noexcept override { return Head; }

  [[nodiscard]] std::optional<std::string> read(Instant Deadline) override {
    if (Parser->is_done()) {
      return std::nullopt;
    }
    std::string Chunk(ReadChunkBytes, '\0');
    Parser->get().body().data = Chunk.data();
    Parser->get().body().size = Chunk.size();
    boost::system::error_code Failure;
    // The timer of the socket only ends reads that wait for bytes.
    if (DecisionClock::now() >= Deadline) {
      Failure = beast::error::timeout;
    } else {
      setDeadline(Deadline);
      wire::async_read_some(Socket, Buffer, *Parser, Yield[Failure]);
    }
    if (Failure && Failure != wire::error::need_buffer) {
      throw connectionError("incomplete response from", Remote, Failure,
                            Verdict::MayHaveRun);
    }
    Chunk.resize(Chunk.size() - Parser->get().body().size);
    return Chunk;
  }

private:
  void setDeadline(Instant Deadline) {
    const auto Remaining = Deadline - DecisionClock::now();
    Socket.expires_after(std::max(Remaining, Millis{1}));
  }

  asio::yield_context Yield;
  Endpoint Remote;
  beast::basic_stream<tcp> Socket;
  ReadBuffer Buffer;
  std::optional<wire::response_parser<wire::buffer_body>> Parser;
  Response Head;
};

} // namespace internal

std::unique_ptr<ClientStream> Client::open(const Request &Message,
                                           Instant Deadline) {
  auto Stream = std::make_unique<internal::Connection>(Yield, Remote);
  Stream->connect(std::min(Deadline, ConnectDeadline));
  Stream->sendRequest(Message, Deadline);
  return Stream;
}

Response Client::send(const Request &Message, Instant Deadline) {
  const auto Stream = open(Message, Deadline);
  Response Result = Stream->head();
  while (auto Chunk = Stream->read(Deadline)) {
    Result.Body += *Chunk;
    if (Result.Body.size() > internal::MaxWholeBodyBytes) {
      throw Error{502, "response_too_large",
                  "the response of " + Remote.str() + " exceeds the size limit"}
          .withVerdict(Verdict::MayHaveRun);
    }
  }
  return Result;
}

} // namespace goldcrestnotch::http
