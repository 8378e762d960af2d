/// @file
/// One caller's connection: reads requests, writes answers, notices when the
/// caller goes away.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "goldcrestnotch/proxy/loop_delay.hpp"
#include "goldcrestnotch/proxy/target_connection.hpp"
#include "goldcrestnotch/routing/configuration.hpp"

namespace goldcrestnotch::proxy {

using WireRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using WireFields = boost::beast::http::fields;

/// @brief Why no request was read.
enum class ReadEnd : std::uint8_t {
  Whole,     ///< One was read.
  Closed,    ///< The caller closed, or was idle or too slow.
  Malformed, ///< The bytes are no request.
  HeadTooLarge,
  BodyTooLarge,
};

/// @brief A connection to a caller. Used by one coroutine.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  explicit CallerConnection(boost::asio::io_context &Loop) : Socket{Loop} {}

  [[nodiscard]] Stream &stream() noexcept { return Socket; }
  [[nodiscard]] const WireRequest &request() const noexcept { return Asked; }
  /// @brief When the request was there to be read, as far as is known.
  [[nodiscard]] Instant arrival() const noexcept { return Arrival; }
  /// @brief Whether the caller was seen to close the connection.
  [[nodiscard]] bool gone() const noexcept { return Gone; }
  /// @brief Looks whether the caller has closed the connection.
  [[nodiscard]] bool left();
  /// @brief Whether the answer's head has been sent.
  [[nodiscard]] bool started() const noexcept { return Started; }
  /// @brief Whether the connection may carry another request.
  [[nodiscard]] bool keeps() const noexcept { return Keep; }

  /// @brief Reads the next request.
  /// @param Delay Tells how long the request waited to be read.
  [[nodiscard]] ReadEnd read(boost::asio::yield_context Yield,
                             const routing::CallerLimits &Limits,
                             const LoopDelay &Delay);
  /// @brief Calls back once if the caller closes before `unwatch`.
  void watch(std::function<void()> OnGone);
  void unwatch();

  /// @brief The connection ends after this answer.
  void closeAfter() noexcept { Keep = false; }
  /// @brief Sends a whole answer.
  void reply(boost::asio::yield_context Yield, int Status,
             const WireFields &Fields, std::string_view Body, Instant Until);
  /// @brief Sends the head of an answer that comes in pieces.
  void start(boost::asio::yield_context Yield, int Status,
             const WireFields &Fields, Instant Until);
  void write(boost::asio::yield_context Yield, std::string_view Piece,
             Instant Until);
  void finish(boost::asio::yield_context Yield, Instant Until);
  /// @brief Ends the connection so that an answer under way looks cut off.
  void abort();

private:
  Stream Socket;
  boost::beast::flat_buffer Buffer;
  WireRequest Asked;
  Instant Arrival{};
  std::function<void()> OnGone;
  bool Fresh = true; ///< No request has been read.
  bool Watching = false;
  bool Gone = false;
  bool Started = false;
  bool Keep = true;
};

} // namespace goldcrestnotch::proxy
