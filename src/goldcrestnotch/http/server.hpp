/// @file
/// An HTTP/1.1 server: one coroutine a connection, handlers on plain messages.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/http/message.hpp"

namespace goldcrestnotch::http {

/// @brief What a server accepts from a caller.
struct Limits {
  std::uint32_t HeadBytes = 16'384;
  std::uint64_t BodyBytes = 1'048'576;
  Millis HeadWait{10'000};  ///< From the first byte awaited to the whole head.
  Millis BodyWait{30'000};  ///< To the whole body.
  Millis WriteWait{30'000}; ///< For one write to be taken by the caller.
  std::uint32_t Connections = 4096;
};

/// @brief One request and the way to answer it.
class Exchange {
public:
  virtual ~Exchange() = default;

  [[nodiscard]] virtual const Request &request() const noexcept = 0;
  /// @brief Whether an answer has begun.
  [[nodiscard]] virtual bool started() const noexcept = 0;
  /// @brief Whether the caller has closed its connection.
  [[nodiscard]] virtual bool abandoned() = 0;
  [[nodiscard]] virtual boost::asio::yield_context yield() noexcept = 0;

  /// @brief Sends a whole answer.
  virtual void reply(const Response &Answer) = 0;
  /// @brief Sends the head of an answer of unknown length.
  virtual void start(const Response &Head) = 0;
  /// @brief Sends a piece of the answer.
  /// @throws std::exception if the caller is gone or takes too long.
  virtual void write(std::string_view Piece) = 0;
  /// @brief Ends an answer that `start` began.
  virtual void finish() = 0;
};

/// @brief Accepts connections on one address.
class Server {
public:
  using Handler = std::function<void(Exchange &)>;

  /// @throws boost::system::system_error if the address can't be bound.
  Server(boost::asio::io_context &Context, const Endpoint &Where, Limits Bounds,
         Handler Handle);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept;
  [[nodiscard]] std::size_t connections() const noexcept;
  /// @brief Count of requests refused for their form.
  [[nodiscard]] std::uint64_t malformed() const noexcept;

  /// @brief Begins to accept.
  void start();
  /// @brief Stops accepting and closes idle connections; requests in progress
  /// go on.
  void drain();

private:
  class State;
  std::shared_ptr<State> Self;
};

} // namespace goldcrestnotch::http
