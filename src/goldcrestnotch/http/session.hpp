/// @file
/// A persistent connection to one endpoint, for consecutive requests.

#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/http/message.hpp"

namespace goldcrestnotch::http {

/// @brief Sends requests on one persistent connection. It connects when needed,
/// and closes the connection after any failure: once a response has been lost,
/// the connection can't be used further. Only one coroutine may use a session.
class Session {
public:
  Session(boost::asio::io_context &Context, Endpoint Remote);
  ~Session();
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  /// @brief Sets a deadline for connecting. By default, only the deadline of
  /// the request applies.
  void connectBy(Instant Deadline) noexcept;
  /// @brief Sends a request and reads the whole response.
  /// @param Deadline The deadline of the request. A response that is being
  /// received by then is read further while it makes progress, for a limited
  /// time.
  /// @throws Error whose verdict is `not-run` only if no byte was sent.
  [[nodiscard]] Response send(boost::asio::yield_context Yield,
                              const Request &Message, Instant Deadline);
  /// @brief When the first bytes of the last response arrived; the epoch if
  /// none did.
  [[nodiscard]] Instant firstByte() const noexcept;

private:
  class State;
  std::unique_ptr<State> Impl;
};

} // namespace goldcrestnotch::http
