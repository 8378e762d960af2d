/// @file
/// A kept connection to one endpoint, for many requests one after another.

#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/http/message.hpp"

namespace goldcrestnotch::http {

/// @brief Connects when needed; closes after any failure, since a connection
/// on which an answer was lost brings nothing more. Used by one coroutine.
class Session {
public:
  Session(boost::asio::io_context &Loop, Endpoint Where);
  ~Session();
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  /// @brief Gives up connecting at an instant; without it, with the request.
  void connectBy(Instant Until) noexcept;
  /// @brief Sends a request and reads its whole answer.
  /// @param Until When to give up, unless the answer is on its way by then: it
  /// is awaited while it goes on coming.
  /// @throws Error whose verdict is `not-run` only if no byte was sent.
  [[nodiscard]] Response send(boost::asio::yield_context Yield,
                              const Request &Asked, Instant Until);

private:
  class State;
  std::unique_ptr<State> Self;
};

} // namespace goldcrestnotch::http
