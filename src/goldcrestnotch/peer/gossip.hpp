/// @file
/// The protocol between VMs: authenticates each peer, detects peers that lag
/// behind, and decides which messages to send. It uses no sockets and no clock,
/// so that tests can drive it directly.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/peer/message.hpp"
#include "goldcrestnotch/peer/socket.hpp"

namespace goldcrestnotch {

/// @brief Sends a message on a connection.
struct PeerSend {
  PeerHandle To = 0;
  PeerMessage Message;
};

/// @brief Closes a connection that violated the protocol.
struct PeerReject {
  PeerHandle Handle = 0;
  std::string Cause;
};

/// @brief Applies a snapshot received from a peer.
struct PeerApplySnapshot {
  PeerSnapshot Snapshot;
};

/// @brief Sends a snapshot of a stream to a peer that has lagged for too long.
struct PeerSendSnapshot {
  PeerHandle To = 0;
  std::string Stream;
};

/// @brief An action that the caller has to carry out.
using PeerAction =
    std::variant<PeerSend, PeerReject, PeerApplySnapshot, PeerSendSnapshot>;

/// @brief The protocol state of all peer connections of a VM.
///
/// Each method returns the actions to carry out, in order.
class Gossip {
public:
  /// @param Self The name of this VM.
  /// @param SharedKey The secret that all VMs share.
  Gossip(VmId Self, std::string SharedKey)
      : Self{std::move(Self)}, SharedKey{std::move(SharedKey)} {}

  /// @brief Returns the number of connections with an authenticated peer.
  [[nodiscard]] std::size_t authenticatedCount() const noexcept;
  /// @brief Returns whether a VM is connected and authenticated.
  [[nodiscard]] bool isAuthenticated(const VmId &Name) const noexcept;

  /// @brief Registers a new connection and sends this VM's hello.
  /// @param Nonce A fresh random value that the peer's proof must cover.
  [[nodiscard]] std::vector<PeerAction> open(PeerHandle Handle,
                                             std::string Nonce);
  /// @brief Forgets a connection that was closed.
  void close(PeerHandle Handle) { Connections.erase(Handle); }
  /// @brief Handles an encoded message from a peer.
  [[nodiscard]] std::vector<PeerAction> receive(Instant Now, PeerHandle From,
                                                const std::string &Bytes);
  /// @brief Replaces this VM's digest and sends it to all authenticated peers.
  [[nodiscard]] std::vector<PeerAction>
  broadcastDigest(const PeerDigest &Digest);

private:
  /// @brief A connection and what is known of the peer at its other end.
  struct Connection {
    std::string Nonce; ///< The nonce that this VM sent.
    VmId Name;         ///< Empty until the peer sends its hello.
    bool Authenticated = false;
    Instant BehindSince = Instant::max(); ///< `max()` if it does not lag.
  };

  [[nodiscard]] std::vector<PeerAction> handle(Instant Now, PeerHandle From,
                                               Connection &Sender,
                                               const PeerHello &Message);
  [[nodiscard]] std::vector<PeerAction> handle(Instant Now, PeerHandle From,
                                               Connection &Sender,
                                               const PeerProof &Message);
  [[nodiscard]] std::vector<PeerAction> handle(Instant Now, PeerHandle From,
                                               Connection &Sender,
                                               const PeerDigest &Message);
  [[nodiscard]] std::vector<PeerAction> handle(Instant Now, PeerHandle From,
                                               Connection &Sender,
                                               const PeerSnapshot &Message);
  /// @brief Returns the MAC by which a VM proves that it knows the key. It
  /// covers the name of the VM, so a proof can't be sent back to its sender.
  [[nodiscard]] std::string mac(const VmId &Prover,
                                const std::string &Nonce) const;

  VmId Self;
  std::string SharedKey;
  PeerDigest OwnDigest;
  std::map<PeerHandle, Connection> Connections;
};

} // namespace goldcrestnotch
