/// @file
/// An HTTP/1.1 client that tells whether a failed request may have run.

#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/http/message.hpp"

namespace goldcrestnotch::http {

/// @brief An answer that is still being read.
class ClientStream {
public:
  virtual ~ClientStream() = default;

  [[nodiscard]] virtual const Response &head() const noexcept = 0;
  /// @brief Reads the next bytes of the body.
  /// @param Until When to give up.
  /// @return Nothing at the end of the body.
  /// @throws Error with verdict `may-have-run` if the connection fails.
  [[nodiscard]] virtual std::optional<std::string> read(Instant Until) = 0;
};

/// @brief Sends requests to one endpoint.
class Client {
public:
  Client(boost::asio::yield_context Yield, Endpoint Where)
      : Yield{Yield}, Where{std::move(Where)} {}

  /// @brief Gives up connecting at an instant; without it, with the request.
  void connectBy(Instant Until) noexcept { ConnectUntil = Until; }

  /// @brief Sends a request and reads its whole answer.
  /// @throws Error whose verdict is `not-run` only if no byte was sent.
  [[nodiscard]] Response send(const Request &Asked, Instant Until);

  /// @brief Sends a request and reads the head of its answer.
  /// @throws Error whose verdict is `not-run` only if no byte was sent.
  [[nodiscard]] std::unique_ptr<ClientStream> open(const Request &Asked,
                                                   Instant Until);

private:
  boost::asio::yield_context Yield;
  Endpoint Where;
  Instant ConnectUntil = Instant::max();
};

} // namespace goldcrestnotch::http
