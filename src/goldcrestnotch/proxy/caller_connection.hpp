/// @file
/// A connection from a caller: reads requests, writes responses and detects
/// that the caller has closed it.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/spawn.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "goldcrestnotch/http/read_buffer.hpp"
#include "goldcrestnotch/http/stream_timeout.hpp"
#include "goldcrestnotch/proxy/buffer_budget.hpp"
#include "goldcrestnotch/proxy/loop_delay.hpp"
#include "goldcrestnotch/proxy/target_connection.hpp"
#include "goldcrestnotch/routing/configuration.hpp"

namespace goldcrestnotch::proxy {

using WireRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using WireFields = boost::beast::http::fields;

/// @brief Result of reading a request.
enum class ReadResult : std::uint8_t {
  Complete,     ///< A request was read.
  Closed,       ///< The caller closed the connection, or it was idle.
  TimedOut,     ///< A request had begun, and the rest did not arrive in time.
  Malformed,    ///< The bytes are not a valid HTTP request.
  HeadTooLarge, ///< The head exceeds the configured limit, or a chunk head or
                ///< the trailer section that of the buffer.
  BodyTooLarge, ///< The body exceeds the configured limit.
  BuffersFull,  ///< The VM holds too many long messages.
  ShuttingDown, ///< The VM shuts down before the request has arrived.
};

/// @brief A connection from a caller. Only one coroutine uses it.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  /// @param Budget Bounds the requests of all callers together.
  CallerConnection(boost::asio::io_context &Loop, BufferBudget &Budget)
      : Socket{Loop}, RequestShare{Budget} {}

  [[nodiscard]] TcpStream &stream() noexcept { return Socket; }
  /// @brief The last request that was read.
  [[nodiscard]] const WireRequest &request() const noexcept { return Request; }
  /// @brief Estimated time at which the request arrived; earlier than the time
  /// at which it was read.
  [[nodiscard]] Instant arrival() const noexcept { return Arrival; }
  /// @brief Whether the caller is known to have closed the connection.
  [[nodiscard]] bool gone() const noexcept { return Gone; }
  /// @brief Checks the socket and returns whether the caller has closed the
  /// connection.
  [[nodiscard]] bool checkGone();
  /// @brief Whether a request has begun to arrive and is not read whole.
  [[nodiscard]] bool receiving();
  /// @brief Whether a response to the current request has been started.
  [[nodiscard]] bool started() const noexcept { return Started; }
  /// @brief Whether the response to the current request has been started and
  /// its end has not been sent.
  [[nodiscard]] bool unfinished() const noexcept {
    return Started && !Finished;
  }
  /// @brief Number of sent bytes that the caller's host has not acknowledged;
  /// zero if it can't be told.
  [[nodiscard]] int unacknowledged();
  /// @brief Frees the memory of the last request.
  void releaseRequest();
  /// @brief Whether bytes of the caller wait to be read. The kernel resets a
  /// connection that is closed then, and drops what the caller has not
  /// received yet.
  [[nodiscard]] bool unread();
  /// @brief Whether the connection may carry another request.
  [[nodiscard]] bool keepAlive() const noexcept { return KeepAlive; }

  /// @brief Reads the next request.
  /// @param Delay Supplies the time that the request waited to be read.
  [[nodiscard]] ReadResult read(boost::asio::yield_context Yield,
                                const routing::CallerLimits &Limits,
                                const LoopDelay &Delay);
  /// @brief Ends the read of a request that has begun to arrive; does nothing
  /// otherwise.
  void interruptRead();
  /// @brief Calls `Callback` once if the caller closes the connection before
  /// `unwatch`.
  void watch(std::function<void()> Callback);
  void unwatch();

  /// @brief Closes the connection after the current response.
  void disableKeepAlive() noexcept { KeepAlive = false; }
  /// @brief Sends a complete response.
  void reply(boost::asio::yield_context Yield, int Status,
             const WireFields &Fields, std::string_view Body, Instant Deadline);
  /// @brief Sends the head of a response whose body follows in pieces.
  void start(boost::asio::yield_context Yield, int Status,
             const WireFields &Fields, Instant Deadline);
  /// @brief Sends a piece of the body; does nothing if it is empty.
  void write(boost::asio::yield_context Yield, std::string_view Piece,
             Instant Deadline);
  /// @brief Ends the body.
  void finish(boost::asio::yield_context Yield, Instant Deadline);
  /// @brief Resets the connection, so that the caller cannot take a partial
  /// response for a complete one.
  void abort();

private:
  /// @brief What the connection waits for.
  enum class Phase : std::uint8_t {
    Idle,       ///< The first byte of a request.
    Receiving,  ///< The rest of a request, which may have been refused.
    Responding, ///< The end of the response to a request.
  };

  /// @brief How the body of a response that is sent in pieces ends.
  enum class BodyForm : std::uint8_t {
    Chunked,    ///< With its last chunk.
    UntilClose, ///< With the connection: callers of HTTP/1.0 know no chunks.
    None,       ///< The response has none.
  };

  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// @brief Reads the body of a request whose head has been read.
  [[nodiscard]] ReadResult readBody(boost::asio::yield_context Yield,
                                    Parser &Received);

  TcpStream Socket;
  http::StreamTimeout<TcpStream> ReadTimeout{Socket};
  http::ReadBuffer Buffer;
  WireRequest Request;
  BufferBudget::Share RequestShare; ///< Of the body of `Request`.
  Instant Arrival{};
  std::function<void()> OnGone;
  Phase Current = Phase::Idle;
  BodyForm Form = BodyForm::Chunked; ///< Of the response that was started.
  bool Interrupted = false; ///< No request is read to its end any more.
  bool First = true;        ///< No request has been read yet.
  bool Watching =
      false; ///< A wait for the socket to become readable is active.
  bool Gone = false;
  bool Started = false;
  bool Finished = false; ///< The end of the response has been sent.
  bool KeepAlive = true;
};

} // namespace goldcrestnotch::proxy
