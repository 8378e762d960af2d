/// @file
/// VMs tell each other which target gets a long prompt, by datagrams. A lost
/// one costs a worse choice and nothing else.

#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "goldcrestnotch/backend/target_set.hpp"
#include "goldcrestnotch/http/message.hpp"

namespace goldcrestnotch::backend {

/// @brief Sends and receives hints of prompts being read.
class PlacementHints {
public:
  /// Prompts of fewer tokens are not worth a datagram.
  static constexpr std::int64_t MinTokens = 3'000;
  /// Nor are prompts of fewer tokens for each VM that is told: a hint costs the
  /// fleet about 10 us a VM, and what it saves grows with the prompt.
  static constexpr std::int64_t MinTokensPerPeer = 100;

  /// @param Where The same port on all VMs.
  /// @throws boost::system::system_error if the address can't be bound.
  PlacementHints(boost::asio::io_context &Loop, const http::Endpoint &Where,
                 TargetSet &Targets);

  /// @brief The port that is bound.
  [[nodiscard]] std::uint16_t port() const {
    return Socket.local_endpoint().port();
  }

  void start() { receive(); }
  /// @brief Says to whom hints go.
  /// @param Addresses IP numbers of other VMs.
  void updatePeers(const std::vector<std::string> &Addresses);
  /// @brief Tells the others that a target gets a prompt, if it is long enough
  /// for their count.
  void send(const TargetId &Name, std::int64_t Tokens);

private:
  /// @brief A datagram: the target's hash and the tokens, big-endian.
  using Datagram = std::array<unsigned char, 12>;

  void receive();

  boost::asio::ip::udp::socket Socket;
  std::uint16_t Port;
  TargetSet &Targets;
  std::vector<boost::asio::ip::udp::endpoint> Peers;
  Datagram Incoming{};
  boost::asio::ip::udp::endpoint Sender;
};

} // namespace goldcrestnotch::backend
