/// @file
/// The messages between VMs, in CBOR.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "goldcrestnotch/core/id.hpp"

namespace goldcrestnotch {

/// The version of the messages that this build speaks.
inline constexpr std::uint32_t PeerVersion = 1;

/// @brief First on a connection, from both ends.
struct PeerHello {
  std::uint32_t Version = PeerVersion;
  VmId From;
  std::string Nonce; ///< For the other end to prove itself with.
};

/// @brief Proves that the sender knows the peer key.
struct PeerProof {
  std::string Mac;
};

/// @brief How far the sender has followed the shared streams.
struct PeerDigest {
  std::uint64_t Config = 0;  ///< Next offset.
  std::uint64_t Rollout = 0; ///< Next offset.
};

/// @brief A stream's whole state, for a VM that can't read the log.
struct PeerState {
  std::string Stream;
  std::string Saved;
};

using PeerMessage = std::variant<PeerHello, PeerProof, PeerDigest, PeerState>;

[[nodiscard]] std::string encode(const PeerMessage &Source);
/// @throws std::invalid_argument if the bytes are no message of this version.
[[nodiscard]] PeerMessage decodePeer(std::string_view Bytes);

} // namespace goldcrestnotch
