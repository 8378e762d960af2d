/// @file
/// An HTTP/1.1 server that runs one coroutine per connection and passes plain
/// message types to its handler.

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

/// @brief The limits that a server enforces on its callers.
struct Limits {
  std::uint32_t MaxHeadBytes = 16'384;
  std::uint64_t MaxBodyBytes = 1'048'576;
  Millis HeadTimeout{10'000};  ///< To receive the head, idle time included.
  Millis BodyTimeout{30'000};  ///< To receive the body, once the head is read.
  Millis WriteTimeout{30'000}; ///< To complete one write.
  std::uint32_t MaxConnections = 4096; ///< Further connections are closed.
};

/// @brief A request and the means to send its response.
class Exchange {
public:
  virtual ~Exchange() = default;

  [[nodiscard]] virtual const Request &request() const noexcept = 0;
  /// @brief Returns whether a response has been started.
  [[nodiscard]] virtual bool started() const noexcept = 0;
  /// @brief Returns whether the caller has closed its connection.
  [[nodiscard]] virtual bool abandoned() = 0;
  /// @brief Returns the context of the coroutine that runs the handler.
  [[nodiscard]] virtual boost::asio::yield_context yield() noexcept = 0;

  /// @brief Sends a complete response.
  virtual void reply(const Response &Message) = 0;
  /// @brief Sends the head of a response of unknown length, in chunked
  /// encoding.
  virtual void start(const Response &Head) = 0;
  /// @brief Sends a chunk of the body. An empty chunk is skipped.
  /// @throws std::exception if the connection fails or the write times out.
  virtual void write(std::string_view Chunk) = 0;
  /// @brief Ends a response that was begun by `start`.
  virtual void finish() = 0;
};

/// @brief Accepts connections on one endpoint.
class Server {
public:
  using Handler = std::function<void(Exchange &)>;

  /// @brief Binds the endpoint and listens; `start` accepts connections.
  /// @throws boost::system::system_error if the address can't be bound.
  Server(boost::asio::io_context &Context, const Endpoint &Local, Limits Bounds,
         Handler OnRequest);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// @brief Returns the bound port.
  [[nodiscard]] std::uint16_t port() const noexcept;
  /// @brief Returns the number of open connections.
  [[nodiscard]] std::size_t connections() const noexcept;
  /// @brief Returns the number of requests that could not be read: malformed,
  /// too large or timed out. A timeout of an idle connection counts as well.
  [[nodiscard]] std::uint64_t malformed() const noexcept;

  /// @brief Starts accepting connections.
  void start();
  /// @brief Stops accepting and closes idle connections. Requests in progress
  /// run to completion.
  void drain();

private:
  class State;
  std::shared_ptr<State> Impl;
};

} // namespace goldcrestnotch::http
