/// @file
/// The messages that VMs exchange with each other, encoded as CBOR.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "goldcrestnotch/core/id.hpp"

namespace goldcrestnotch {

/// The protocol version of this build. A peer with another version is rejected.
inline constexpr std::uint32_t PeerProtocolVersion = 1;

/// @brief The first message on a connection, sent by both ends.
struct PeerHello {
  std::uint32_t Version = PeerProtocolVersion;
  VmId From;
  std::string Nonce; ///< The receiver's proof must cover it.
};

/// @brief Proves that the sender knows the shared peer key.
struct PeerProof {
  std::string Mac;
};

/// @brief The positions that the sender has reached in the shared streams.
struct PeerDigest {
  std::uint64_t Config = 0;  ///< The next offset to read.
  std::uint64_t Rollout = 0; ///< The next offset to read.
};

/// @brief A snapshot of a stream, for a VM that can't read the log.
struct PeerSnapshot {
  std::string Stream;
  std::string Data;
};

using PeerMessage =
    std::variant<PeerHello, PeerProof, PeerDigest, PeerSnapshot>;

/// @brief Encodes a message as CBOR.
[[nodiscard]] std::string encode(const PeerMessage &Message);
/// @brief Decodes a message.
/// @throws std::invalid_argument if the bytes are not a valid peer message.
[[nodiscard]] PeerMessage decodePeer(std::string_view Bytes);

} // namespace goldcrestnotch
