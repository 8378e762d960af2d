/// @file
/// The HTTP server, implemented with Boost.Beast.

#include "goldcrestnotch/http/server.hpp"

#include <array>
#include <atomic>
#include <exception>
#include <mutex>
#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "goldcrestnotch/core/error.hpp"

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
static constexpr int SocketBytes = 65'536;
static constexpr std::size_t LingerPiece = 4'096;
static constexpr std::size_t LingerBytes = 16'777'216;
static constexpr Millis LingerWait{2'000};

/// @brief An `Exchange` on a Beast stream.
class StreamExchange final : public Exchange {
public:
  StreamExchange(Stream &Socket, const Limits &Bounds, Request Asked, bool Keep,
                 asio::yield_context Yield)
      : Socket{Socket}, Bounds{Bounds}, Asked{std::move(Asked)}, Keep{Keep},
        Yield{Yield} {}

  [[nodiscard]] const Request &request() const noexcept override {
    return Asked;
  }
  [[nodiscard]] bool started() const noexcept override { return Begun; }
  [[nodiscard]] bool keepAlive() const noexcept { return Keep; }
  [[nodiscard]] asio::yield_context yield() noexcept override { return Yield; }

  [[nodiscard]] bool abandoned() override {
    auto &Raw = Socket.socket();
    if (!Raw.is_open()) {
      return true;
    }
    char Byte = 0;
    boost::system::error_code Failure;
    Raw.non_blocking(true, Failure);
    const auto Got =
        Raw.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Failure);
    if (Failure == asio::error::would_block) {
      return false;
    }
    return Failure.failed() || Got == 0;
  }

  void reply(const Response &Answer) override {
    Begun = true;
    wire::response<wire::string_body> Message;
    head(Message, Answer);
    Message.body() = Answer.Body;
    Message.prepare_payload();
    Socket.expires_after(Bounds.WriteWait);
    wire::async_write(Socket, Message, Yield);
  }

  void start(const Response &Head) override {
    Begun = true;
    wire::response<wire::empty_body> Message;
    head(Message, Head);
    Message.chunked(true);
    wire::response_serializer<wire::empty_body> Serializer{Message};
    Socket.expires_after(Bounds.WriteWait);
    wire::async_write_header(Socket, Serializer, Yield);
  }

  void write(std::string_view Piece) override {
    if (Piece.empty()) {
      return;
    }
    Socket.expires_after(Bounds.WriteWait);
    asio::async_write(
        Socket, wire::make_chunk(asio::buffer(Piece.data(), Piece.size())),
        Yield);
  }

  void finish() override {
    Socket.expires_after(Bounds.WriteWait);
    asio::async_write(Socket, wire::make_chunk_last(), Yield);
  }

private:
  template <typename Message> void head(Message &Out, const Response &Answer) {
    Out.version(11);
    Out.result(static_cast<unsigned>(Answer.Status));
    for (const auto &[Name, Value] : Answer.Fields) {
      Out.set(Name, Value);
    }
    Out.keep_alive(Keep);
  }

  Stream &Socket;
  const Limits &Bounds;
  Request Asked;
  bool Keep;
  bool Begun = false;
  asio::yield_context Yield;
};

[[nodiscard]] static Request convert(wire::request<wire::string_body> &&In) {
  Request Out;
  Out.Method = std::string{In.method_string()};
  const std::string Target{In.target()};
  const auto Mark = Target.find('?');
  Out.Path = Target.substr(0, Mark);
  if (Mark != std::string::npos) {
    Out.Query = Target.substr(Mark + 1);
  }
  for (const auto &Field : In) {
    Out.Fields.insert_or_assign(std::string{Field.name_string()},
                                std::string{Field.value()});
  }
  Out.Body = std::move(In.body());
  return Out;
}

[[nodiscard]] static Response plainError(int Status, std::string_view Code) {
  Response Answer;
  Answer.Status = Status;
  Answer.Fields["Content-Type"] = "application/json";
  Answer.Fields["X-Verdict"] = "not-run";
  Answer.Body = R"({"error":{"code":")" + std::string{Code} +
                R"(","message":"the request could not be read"}})";
  return Answer;
}

} // namespace internal

class Server::State : public std::enable_shared_from_this<State> {
public:
  State(asio::io_context &Context, const Endpoint &Where, Limits Bounds,
        Handler Handle)
      : Context{Context}, Acceptor{Context}, Bounds{Bounds}, Handle{std::move(
                                                                 Handle)} {
    const tcp::endpoint Local{asio::ip::make_address(Where.Address),
                              Where.Port};
    Acceptor.open(Local.protocol());
    Acceptor.set_option(asio::socket_base::reuse_address(true));
    Acceptor.bind(Local);
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
      for (const auto &Idle : Self->Idle) {
        asio::post(Idle->get_executor(), [Idle, Self] {
          const std::lock_guard Again{Self->Mutex};
          if (Self->Idle.contains(Idle)) {
            Idle->cancel();
          }
        });
      }
    });
  }

  std::atomic<std::size_t> Open{0};
  std::atomic<std::uint64_t> Malformed{0};
  std::uint16_t Port = 0;

private:
  void accept(asio::yield_context Yield) {
    while (!Draining) {
      auto Socket = std::make_shared<Stream>(asio::make_strand(Context));
      boost::system::error_code Failure;
      Acceptor.async_accept(Socket->socket(), Yield[Failure]);
      if (Failure || Draining) {
        if (!Acceptor.is_open()) {
          return;
        }
        continue;
      }
      if (Open >= Bounds.Connections) {
        continue;
      }
      Socket->socket().set_option(tcp::no_delay(true), Failure);
      Socket->socket().set_option(
          asio::socket_base::send_buffer_size(internal::SocketBytes), Failure);
      auto Self = shared_from_this();
      ++Open;
      asio::spawn(Socket->get_executor(),
                  [Self, Socket](asio::yield_context Serve) {
                    Self->serve(Socket, Serve);
                    --Self->Open;
                  });
    }
  }

  void serve(const std::shared_ptr<Stream> &Socket, asio::yield_context Yield) {
    beast::flat_buffer Buffer;
    try {
      while (!Draining && exchange(Socket, Buffer, Yield)) {
      }
    } catch (const boost::system::system_error &) {
      // The connection has failed, so no response can be sent.
    }
    markBusy(Socket);
    boost::system::error_code Ignored;
    Socket->socket().shutdown(tcp::socket::shutdown_send, Ignored);
    Socket->close();
  }

  [[nodiscard]] bool exchange(const std::shared_ptr<Stream> &Socket,
                              beast::flat_buffer &Buffer,
                              asio::yield_context Yield) {
    wire::request_parser<wire::string_body> Parser;
    Parser.header_limit(Bounds.HeadBytes);
    Parser.body_limit(Bounds.BodyBytes);
    boost::system::error_code Failure;
    markIdle(Socket);
    Socket->expires_after(Bounds.HeadWait);
    wire::async_read_header(*Socket, Buffer, Parser, Yield[Failure]);
    markBusy(Socket);
    if (!Failure) {
      Socket->expires_after(Bounds.BodyWait);
      wire::async_read(*Socket, Buffer, Parser, Yield[Failure]);
    }
    if (Failure) {
      refuse(*Socket, Failure, Yield);
      return false;
    }
    const bool Keep = Parser.get().keep_alive() && !Draining;
    internal::StreamExchange Talk{
        *Socket, Bounds, internal::convert(Parser.release()), Keep, Yield};
    Socket->expires_never();
    Handle(Talk);
    return Keep && Talk.started();
  }

  void refuse(Stream &Socket, const boost::system::error_code &Failure,
              asio::yield_context Yield) {
    if (Failure == wire::error::end_of_stream ||
        Failure == asio::error::operation_aborted ||
        Failure == asio::error::connection_reset) {
      return;
    }
    ++Malformed;
    Response Answer = internal::plainError(400, "malformed_request");
    if (Failure == wire::error::body_limit) {
      Answer = internal::plainError(413, "body_too_large");
    } else if (Failure == wire::error::header_limit) {
      Answer = internal::plainError(431, "head_too_large");
    } else if (Failure == beast::error::timeout) {
      return;
    }
    internal::StreamExchange Talk{Socket, Bounds, Request{}, false, Yield};
    Talk.reply(Answer);
    linger(Socket, Yield);
  }

  /// @brief Discards what the caller still sends, up to a limit of time and
  /// size. Closing a socket with unread bytes resets the connection, and the
  /// caller could lose the response.
  void linger(Stream &Socket, asio::yield_context Yield) {
    boost::system::error_code Failure;
    Socket.socket().shutdown(tcp::socket::shutdown_send, Failure);
    std::array<char, internal::LingerPiece> Discarded{};
    std::size_t Total = 0;
    Socket.expires_after(internal::LingerWait);
    while (!Failure && Total < internal::LingerBytes) {
      Total += Socket.async_read_some(asio::buffer(Discarded), Yield[Failure]);
    }
  }

  void markIdle(const std::shared_ptr<Stream> &Socket) {
    const std::lock_guard Lock{Mutex};
    Idle.insert(Socket);
  }
  void markBusy(const std::shared_ptr<Stream> &Socket) {
    const std::lock_guard Lock{Mutex};
    Idle.erase(Socket);
  }

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  Limits Bounds;
  Handler Handle;
  std::atomic<bool> Draining{false};
  std::mutex Mutex;
  std::set<std::shared_ptr<Stream>>
      Idle; ///< The connections without a request; guarded by `Mutex`.
};

Server::Server(asio::io_context &Context, const Endpoint &Where, Limits Bounds,
               Handler Handle)
    : Self{std::make_shared<State>(Context, Where, Bounds, std::move(Handle))} {
}

Server::~Server() = default;

std::uint16_t Server::port() const noexcept { return Self->Port; }
std::size_t Server::connections() const noexcept { return Self->Open; }
std::uint64_t Server::malformed() const noexcept { return Self->Malformed; }
void Server::start() { Self->start(); }
void Server::drain() { Self->drain(); }

} // namespace goldcrestnotch::http
