/// @file
/// Exchange of placement hints between VMs over UDP. A hint says that a target
/// was sent a long prompt. A lost datagram only makes a target choice worse.

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

/// @brief Sends and receives hints about prompts in prefill.
class PlacementHints {
public:
  /// Shorter prompts do not justify a datagram.
  static constexpr std::int64_t MinTokens = 3'000;
  /// The minimum prompt length also grows by this much for each peer: a hint
  /// costs the fleet about 10 us of processor time per VM, and its benefit
  /// grows with the prompt.
  static constexpr std::int64_t MinTokensPerPeer = 100;

  /// @param Listen The local address and the port, which is the same on all
  /// VMs.
  /// @throws boost::system::system_error if the address cannot be bound.
  PlacementHints(boost::asio::io_context &Loop, const http::Endpoint &Listen,
                 TargetSet &Targets);

  /// @brief The port that the socket is bound to.
  [[nodiscard]] std::uint16_t port() const {
    return Socket.local_endpoint().port();
  }

  void start() { receive(); }
  /// @brief Replaces the list of VMs that hints are sent to.
  /// @param Addresses IP addresses of the other VMs; those that cannot be
  /// parsed are skipped.
  void updatePeers(const std::vector<std::string> &Addresses);
  /// @brief Tells all peers that a target was sent a prompt. Does nothing if
  /// the prompt is too short for the number of peers.
  void send(const TargetId &Name, std::int64_t PromptTokens);

private:
  /// @brief The 64-bit hash of the target's name and the 32-bit token count,
  /// both big-endian.
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
