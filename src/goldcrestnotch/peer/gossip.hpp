/// @file
/// Decides what VMs tell each other: who is let in, who is behind, and what to
/// send. No sockets and no clock inside.

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

/// @brief Send a message.
struct PeerSend {
  PeerHandle To = 0;
  PeerMessage What;
};

/// @brief Close a connection that broke the rules.
struct PeerReject {
  PeerHandle Which = 0;
  std::string Cause;
};

/// @brief Take a newer state in.
struct PeerAdopt {
  PeerState What;
};

/// @brief The other end has been behind for a while: send it a state.
struct PeerHelp {
  PeerHandle To = 0;
  std::string Stream;
};

using PeerAction = std::variant<PeerSend, PeerReject, PeerAdopt, PeerHelp>;

/// @brief The state of all connections of a VM.
class Gossip {
public:
  Gossip(VmId Self, std::string Key)
      : Self{std::move(Self)}, Key{std::move(Key)} {}

  /// @brief Count of connections whose other end has proved itself.
  [[nodiscard]] std::size_t size() const noexcept;
  /// @brief Whether a VM is connected and has proved itself.
  [[nodiscard]] bool contains(const VmId &Name) const noexcept;

  [[nodiscard]] std::vector<PeerAction> open(PeerHandle Which,
                                             std::string Nonce);
  void close(PeerHandle Which) { Ends.erase(Which); }
  [[nodiscard]] std::vector<PeerAction> receive(Instant Now, PeerHandle From,
                                                const std::string &Bytes);
  /// @brief Tells all proved peers how far this VM is.
  [[nodiscard]] std::vector<PeerAction> tell(const PeerDigest &Own);

private:
  /// @brief The other end of a connection.
  struct End {
    std::string Nonce; ///< That this VM sent.
    VmId Name;         ///< Empty until its hello.
    bool Proved = false;
    Instant BehindSince = Instant::max();
  };

  [[nodiscard]] std::vector<PeerAction> take(Instant Now, PeerHandle From,
                                             End &At, const PeerHello &What);
  [[nodiscard]] std::vector<PeerAction> take(Instant Now, PeerHandle From,
                                             End &At, const PeerProof &What);
  [[nodiscard]] std::vector<PeerAction> take(Instant Now, PeerHandle From,
                                             End &At, const PeerDigest &What);
  [[nodiscard]] std::vector<PeerAction> take(Instant Now, PeerHandle From,
                                             End &At, const PeerState &What);
  [[nodiscard]] std::string mac(const VmId &Prover,
                                const std::string &Nonce) const;

  VmId Self;
  std::string Key;
  PeerDigest Own;
  std::map<PeerHandle, End> Ends;
};

} // namespace goldcrestnotch
