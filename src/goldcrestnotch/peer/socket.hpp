/// @file
/// WebSocket connections between VMs, behind an interface without websocketpp:
/// that library compiles as C++17 only, so this header keeps to C++17 too.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

namespace goldcrestnotch {

/// @brief Names a connection for as long as the process lives.
using PeerHandle = std::uint64_t;

/// @brief What a hub tells of its connections, on the context's thread.
struct PeerHooks {
  std::function<void(PeerHandle, bool Outgoing)> Opened;
  std::function<void(PeerHandle, const std::string &)> Received;
  std::function<void(PeerHandle)> Closed;
};

/// @brief Bounds of a hub.
struct PeerBounds {
  std::size_t MessageBytes = 16'777'216; ///< A longer message closes.
  std::size_t QueuedBytes = 33'554'432;  ///< More waiting refuses a send.
};

/// @brief Listens for peers and connects to them.
class PeerHub {
public:
  PeerHub(boost::asio::io_context &Context, PeerHooks Hooks,
          PeerBounds Bounds = {});
  ~PeerHub();
  PeerHub(const PeerHub &) = delete;
  PeerHub &operator=(const PeerHub &) = delete;

  /// @brief Begins to listen.
  /// @return The port.
  /// @throws std::runtime_error if the address can't be bound.
  std::uint16_t listen(const std::string &Address, std::uint16_t Port);
  /// @brief Begins to connect; `Opened` or `Closed` follows.
  PeerHandle connect(const std::string &Address, std::uint16_t Port);
  /// @brief Sends a binary message.
  /// @return False if the connection is closed or too much waits to be sent.
  bool send(PeerHandle To, const std::string &Message);
  void close(PeerHandle Which);

private:
  class State;
  std::shared_ptr<State> Self;
};

} // namespace goldcrestnotch
