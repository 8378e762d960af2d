/// @file
/// The HTTP server, implemented with Boost.Beast.

#include "goldcrestnotch/http/server.hpp"

#include <array>
#include <atomic>
#include <exception>
#include <mutex>
#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/field_text.hpp"
#include "goldcrestnotch/http/framing.hpp"
#include "goldcrestnotch/http/read_buffer.hpp"
#include "goldcrestnotch/http/stream_timeout.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace wire = boost::beast::http;
using tcp = asio::ip::tcp;
using Executor = asio::strand<asio::io_context::executor_type>;
using Stream = beast::basic_stream<tcp, Executor>;

namespace internal {

/// Limits how much of a response the kernel buffers while the caller doesn't
/// read it.
static constexpr int SendBufferBytes = 65'536;
static constexpr std::size_t LingerChunkBytes = 4'096;
static constexpr std::size_t MaxLingerBytes = 16'777'216;
static constexpr Millis LingerTimeout{2'000};
/// Pause after a failed accept.
static constexpr Millis AcceptPause{20};

/// @brief An `Exchange` on a Beast stream.
class StreamExchange final : public Exchange {
public:
  StreamExchange(Stream &Socket, const Limits &Bounds, Request Received,
                 bool KeepAlive, asio::yield_context Yield)
      : Socket{Socket}, Bounds{Bounds}, Received{std::move(Received)},
        KeepAlive{KeepAlive}, Yield{Yield} {}

  [[nodiscard]] const Request &request() const noexcept override {
    return Received;
  }
  [[nodiscard]] bool started() const noexcept override { return Started; }
  [[nodiscard]] bool keepAlive() const noexcept { return KeepAlive; }
  [[nodiscard]] asio::yield_context yield() noexcept override { return Yield; }

  [[nodiscard]] bool abandoned() override {
    auto &TcpSocket = Socket.socket();
    if (!TcpSocket.is_open()) {
      return true;
    }
    char Byte = 0;
    boost::system::error_code Failure;
    TcpSocket.non_blocking(true, Failure);
    const auto PeekedBytes = TcpSocket.receive(
        asio::buffer(&Byte, 1), tcp::socket::message_peek, Failure);
    if (Failure == asio::error::would_block) {
      return false;
    }
    return Failure.failed() || PeekedBytes == 0;
  }

  void reply(const Response &Message) override {
    Started = true;
    wire::response<wire::string_body> BeastResponse;
    fillHead(BeastResponse, Message);
    BeastResponse.body() = Message.Body;
    BeastResponse.prepare_payload();
    Socket.expires_after(Bounds.WriteTimeout);
    if (Received.Method == "HEAD") { // Its response has no body.
      wire::response_serializer<wire::string_body> Serializer{BeastResponse};
      wire::async_write_header(Socket, Serializer, Yield);
      return;
    }
    wire::async_write(Socket, BeastResponse, Yield);
  }

  void start(const Response &Head) override {
    Started = true;
    wire::response<wire::empty_body> BeastResponse;
    fillHead(BeastResponse, Head);
    BeastResponse.chunked(true);
    wire::response_serializer<wire::empty_body> Serializer{BeastResponse};
    Socket.expires_after(Bounds.WriteTimeout);
    wire::async_write_header(Socket, Serializer, Yield);
  }

  void write(std::string_view Chunk) override {
    if (Chunk.empty()) {
      return;
    }
    Socket.expires_after(Bounds.WriteTimeout);
    asio::async_write(
        Socket, wire::make_chunk(asio::buffer(Chunk.data(), Chunk.size())),
        Yield);
  }

  void finish() override {
    Socket.expires_after(Bounds.WriteTimeout);
    asio::async_write(Socket, wire::make_chunk_last(), Yield);
  }

private:
  template <typename BeastResponse>
  void fillHead(BeastResponse &Result, const Response &Source) {
    Result.version(11);
    Result.result(static_cast<unsigned>(Source.Status));
    for (const auto &[Name, Value] : Source.Fields) {
      if (isWord(Name) && isFieldValue(Value)) {
        Result.set(Name, Value);
      } else {
        // The answer itself holds; the text may be of a record or a target.
        log(LogLevel::Warn, "response.field_left_out",
            {{"field", Name}, {"value", Value}});
      }
    }
    Result.keep_alive(KeepAlive);
  }

  Stream &Socket;
  const Limits &Bounds;
  Request Received;
  bool KeepAlive;
  bool Started = false;
  asio::yield_context Yield;
};

[[nodiscard]] static Request
toRequest(wire::request<wire::string_body> &&Source) {
  Request Result;
  Result.Method = std::string{Source.method_string()};
  const std::string RequestTarget{Source.target()};
  const auto QueryStart = RequestTarget.find('?');
  Result.Path = RequestTarget.substr(0, QueryStart);
  if (QueryStart != std::string::npos) {
    Result.Query = RequestTarget.substr(QueryStart + 1);
  }
  for (const auto &Field : Source) {
    Result.Fields.insert_or_assign(std::string{Field.name_string()},
                                   std::string{Field.value()});
  }
  Result.Body = std::move(Source.body());
  return Result;
}

[[nodiscard]] static Response errorResponse(int Status, std::string_view Code) {
  Response Result;
  Result.Status = Status;
  Result.Fields["Content-Type"] = "application/json";
  Result.Fields["X-Verdict"] = "not-run";
  Result.Body = R"({"error":{"code":")" + std::string{Code} +
                R"(","message":"the request could not be read"}})";
  return Result;
}

} // namespace internal

class Server::State : public std::enable_shared_from_this<State> {
public:
  State(asio::io_context &Context, const Endpoint &Local, Limits Bounds,
        Handler OnRequest)
      : Context{Context}, Acceptor{Context}, Bounds{Bounds},
        OnRequest{std::move(OnRequest)} {
    const tcp::endpoint LocalEndpoint{asio::ip::make_address(Local.Address),
                                      Local.Port};
    Acceptor.open(LocalEndpoint.protocol());
    Acceptor.set_option(asio::socket_base::reuse_address(true));
    boost::system::error_code Failure;
    Acceptor.bind(LocalEndpoint, Failure);
    if (Failure) {
      throw boost::system::system_error{Failure, "cannot bind " + Local.str()};
    }
    Acceptor.listen();
    Port = Acceptor.local_endpoint().port();
  }

  void start() {
    auto Self = shared_from_this();
    asio::spawn(Context,
                [Self](asio::yield_context Yield) { Self->accept(Yield); });
  }

  void drain() {
    Draining = true;
    auto Self = shared_from_this();
    asio::post(Context, [Self] {
      boost::system::error_code Ignored;
      Self->Acceptor.close(Ignored);
      const std::lock_guard Lock{Self->Mutex};
      for (const auto &IdleSocket : Self->IdleConnections) {
        asio::post(IdleSocket->get_executor(), [IdleSocket, Self] {
          const std::lock_guard IdleLock{Self->Mutex};
          if (Self->IdleConnections.contains(IdleSocket)) {
            IdleSocket->cancel();
          }
        });
      }
    });
  }

  std::atomic<std::size_t> OpenConnections{0};
  std::atomic<std::uint64_t> MalformedRequests{0};
  std::uint16_t Port = 0;

private:
  void accept(asio::yield_context Yield) {
    asio::steady_timer Pause{Context};
    while (!Draining) {
      auto Socket = std::make_shared<Stream>(asio::make_strand(Context));
      boost::system::error_code Failure;
      Acceptor.async_accept(Socket->socket(), Yield[Failure]);
      if (Failure || Draining) {
        if (!Acceptor.is_open()) {
          return;
        }
        // It would fail again at once, for example for lack of descriptors.
        Pause.expires_after(internal::AcceptPause);
        Pause.async_wait(Yield[Failure]);
        continue;
      }
      if (OpenConnections >= Bounds.MaxConnections) {
        continue;
      }
      Socket->socket().set_option(tcp::no_delay(true), Failure);
      Socket->socket().set_option(
          asio::socket_base::send_buffer_size(internal::SendBufferBytes),
          Failure);
      auto Self = shared_from_this();
      ++OpenConnections;
      asio::spawn(Socket->get_executor(),
                  [Self, Socket](asio::yield_context ConnectionYield) {
                    Self->serve(Socket, ConnectionYield);
                    --Self->OpenConnections;
                  });
    }
  }

  void serve(const std::shared_ptr<Stream> &Socket, asio::yield_context Yield) {
    ReadBuffer Buffer{Bounds.MaxHeadBytes};
    try {
      while (!Draining && serveRequest(Socket, Buffer, Yield)) {
      }
    } catch (const boost::system::system_error &) {
      // The connection has failed, so no response can be sent.
    } catch (const std::exception &Failure) {
      log(LogLevel::Error, "connection.failed",
          {{"cause", std::string{Failure.what()}}});
    }
    markBusy(Socket);
    boost::system::error_code Ignored;
    Socket->socket().shutdown(tcp::socket::shutdown_send, Ignored);
    Socket->close();
  }

  [[nodiscard]] bool serveRequest(const std::shared_ptr<Stream> &Socket,
                                  ReadBuffer &Buffer,
                                  asio::yield_context Yield) {
    wire::request_parser<wire::string_body> Parser;
    Parser.header_limit(Bounds.MaxHeadBytes);
    Parser.body_limit(Bounds.MaxBodyBytes);
    boost::system::error_code Failure;
    Socket->expires_never(); // The limit of the last write doesn't hold.
    StreamTimeout Timeout{*Socket};
    Timeout.expiresAt(DecisionClock::now() + Bounds.HeadTimeout);
    markIdle(Socket);
    wire::async_read_header(*Socket, Buffer, Parser, Yield[Failure]);
    markBusy(Socket);
    if (!Failure && !hasDefinedLength(Parser.get(), Parser.get().version())) {
      Failure = wire::error::bad_transfer_encoding;
    }
    Timeout.expiresAt(DecisionClock::now() + Bounds.BodyTimeout);
    while (!Failure && !Parser.is_done()) {
      wire::async_read_some(*Socket, Buffer, Parser, Yield[Failure]);
    }
    Timeout.expiresNever();
    if (Timeout.expired()) {
      ++MalformedRequests;
      return false;
    }
    if (Failure) {
      rejectRequest(*Socket, Failure, Yield);
      return false;
    }
    const bool KeepAlive = Parser.get().keep_alive() && !Draining;
    internal::StreamExchange Current{*Socket, Bounds,
                                     internal::toRequest(Parser.release()),
                                     KeepAlive, Yield};
    OnRequest(Current);
    return KeepAlive && Current.started();
  }

  void rejectRequest(Stream &Socket, const boost::system::error_code &Failure,
                     asio::yield_context Yield) {
    if (Failure == wire::error::end_of_stream ||
        Failure == asio::error::operation_aborted ||
        Failure == asio::error::connection_reset) {
      return;
    }
    ++MalformedRequests;
    Response Result = internal::errorResponse(400, "malformed_request");
    if (Failure == wire::error::body_limit) {
      Result = internal::errorResponse(413, "body_too_large");
    } else if (Failure == wire::error::header_limit ||
               Failure == wire::error::buffer_overflow) {
      Result = internal::errorResponse(431, "head_too_large");
    }
    internal::StreamExchange Current{Socket, Bounds, Request{}, false, Yield};
    Current.reply(Result);
    linger(Socket, Yield);
  }

  /// @brief Discards what the caller still sends, up to a limit of time and
  /// size. Closing a socket with unread bytes resets the connection, and the
  /// caller could lose the response.
  void linger(Stream &Socket, asio::yield_context Yield) {
    boost::system::error_code Failure;
    Socket.socket().shutdown(tcp::socket::shutdown_send, Failure);
    std::array<char, internal::LingerChunkBytes> Discarded{};
    std::size_t Total = 0;
    Socket.expires_after(internal::LingerTimeout);
    while (!Failure && Total < internal::MaxLingerBytes) {
      Total += Socket.async_read_some(asio::buffer(Discarded), Yield[Failure]);
    }
  }

  void markIdle(const std::shared_ptr<Stream> &Socket) {
    const std::lock_guard Lock{Mutex};
    IdleConnections.insert(Socket);
  }
  void markBusy(const std::shared_ptr<Stream> &Socket) {
    const std::lock_guard Lock{Mutex};
    IdleConnections.erase(Socket);
  }

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  Limits Bounds;
  Handler OnRequest;
  std::atomic<bool> Draining{false};
  std::mutex Mutex;
  /// The connections that wait for a request. Guarded by `Mutex`.
  std::set<std::shared_ptr<Stream>> IdleConnections;
};

Server::Server(asio::io_context &Context, const Endpoint &Local, Limits Bounds,
               Handler OnRequest)
    : Impl{std::make_shared<State>(Context, Local, Bounds,
                                   std::move(OnRequest))} {}

Server::~Server() = default;

std::uint16_t Server::port() const noexcept { return Impl->Port; }
std::size_t Server::connections() const noexcept {
  return Impl->OpenConnections;
}
std::uint64_t Server::malformed() const noexcept {
  return Impl->MalformedRequests;
}
void Server::start() { Impl->start(); }
void Server::drain() { Impl->drain(); }

} // namespace goldcrestnotch::http
