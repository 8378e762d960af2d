/// @file
/// An HTTP/1.1 client whose errors say whether the failed request may have run.

#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/http/message.hpp"

namespace goldcrestnotch::http {

/// @brief A response whose body is still being read.
class ClientStream {
public:
  virtual ~ClientStream() = default;

  /// @brief Returns the status and the header fields; the body is empty.
  [[nodiscard]] virtual const Response &head() const noexcept = 0;
  /// @brief Reads the next bytes of the body.
  /// @param Deadline The deadline of the read.
  /// @return Nothing at the end of the body.
  /// @throws Error with verdict `may-have-run` if the connection fails.
  [[nodiscard]] virtual std::optional<std::string> read(Instant Deadline) = 0;
};

/// @brief Sends requests to one endpoint, each on a new connection.
class Client {
public:
  Client(boost::asio::yield_context Yield, Endpoint Remote)
      : Yield{Yield}, Remote{std::move(Remote)} {}

  /// @brief Sets a deadline for connecting. By default, only the deadline of
  /// the request applies.
  void connectBy(Instant Deadline) noexcept { ConnectDeadline = Deadline; }

  /// @brief Sends a request and reads the whole response.
  /// @param Deadline The deadline for the whole exchange.
  /// @throws Error whose verdict is `not-run` only if no byte was sent.
  [[nodiscard]] Response send(const Request &Message, Instant Deadline);

  /// @brief Sends a request and reads the head of the response.
  /// @param Deadline The deadline for the head of the response.
  /// @throws Error whose verdict is `not-run` only if no byte was sent.
  [[nodiscard]] std::unique_ptr<ClientStream> open(const Request &Message,
                                                   Instant Deadline);

private:
  boost::asio::yield_context Yield;
  Endpoint Remote;
  Instant ConnectDeadline = Instant::max();
};

} // namespace goldcrestnotch::http
