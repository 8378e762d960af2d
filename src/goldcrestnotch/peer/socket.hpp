/// @file
/// WebSocket connections between VMs. The interface hides websocketpp, which
/// compiles only as C++17; this header is included there and stays valid C++17.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

namespace goldcrestnotch {

/// @brief Identifies a connection; never reused within a process.
using PeerHandle = std::uint64_t;

/// @brief Callbacks for connection events, called on the thread of the context.
struct PeerCallbacks {
  std::function<void(PeerHandle, bool Outgoing)> Opened;
  std::function<void(PeerHandle, const std::string &)> Received;
  std::function<void(PeerHandle)> Closed;
};

/// @brief Size limits of peer connections.
struct PeerLimits {
  /// A longer message closes the connection.
  std::size_t MaxMessageBytes = 16'777'216;
  /// Sends are refused while more bytes are queued.
  std::size_t MaxQueuedBytes = 33'554'432;
};

/// @brief Listens for peers and connects to them.
class PeerTransport {
public:
  PeerTransport(boost::asio::io_context &Context, PeerCallbacks Callbacks,
                PeerLimits Limits = {});
  ~PeerTransport();
  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  /// @brief Starts listening.
  /// @return The bound port.
  /// @throws std::runtime_error if the address can't be bound.
  std::uint16_t listen(const std::string &Address, std::uint16_t Port);
  /// @brief Starts connecting. `Opened` or `Closed` follows, unless the address
  /// is invalid.
  PeerHandle connect(const std::string &Address, std::uint16_t Port);
  /// @brief Sends a binary message.
  /// @return False if the connection is closed or its send queue is full.
  bool send(PeerHandle To, const std::string &Message);
  /// @brief Starts the closing handshake with the code for a policy violation.
  void close(PeerHandle Handle);

private:
  class State;
  std::shared_ptr<State> Impl;
};

} // namespace goldcrestnotch
