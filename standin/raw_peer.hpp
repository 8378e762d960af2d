/// @file
/// Stand-in for a peer that sends bytes of the test's choice, for responses
/// that no HTTP library would produce.

#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace standin {

/// @brief What a peer sends on a connection.
struct RawBytes {
  std::string Begin;
  /// Sent repeatedly after `Begin` until the other side closes; may be empty.
  std::string Repeated;
  int PauseMs = 0; ///< Before each repetition.
};

/// @brief Sends bytes on a connected socket.
/// @return The number of bytes sent before the other side closed, or until a
/// limit of 64 MiB; the socket is closed after it.
std::size_t sendRaw(boost::asio::ip::tcp::socket &Socket,
                    const RawBytes &Content);

/// @brief A server that answers a request on each connection with given bytes
/// and then closes the connection.
class RawPeer {
public:
  /// @param First The response to a request before that one; empty for none.
  explicit RawPeer(RawBytes Response, std::string First = {});
  ~RawPeer();
  RawPeer(const RawPeer &) = delete;
  RawPeer &operator=(const RawPeer &) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return Port; }
  /// @brief Waits until the connections so far have ended.
  /// @return The number of bytes sent on all of them.
  [[nodiscard]] std::size_t finish();

private:
  void serve();

  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::uint16_t Port;
  RawBytes Response;
  std::string First;
  std::size_t Sent = 0;            ///< Written by `Server` until it ends.
  std::atomic<bool> Ending{false}; ///< No further connection is accepted.
  std::thread Server;
};

} // namespace standin
