/// @file
/// The UDP socket for notices between VMs. A lost datagram only costs time.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "goldcrestnotch/http/message.hpp"
#include "goldcrestnotch/notices/message.hpp"
#include "goldcrestnotch/telemetry/metrics.hpp"

namespace goldcrestnotch::notices {

/// @brief Sends messages to other VMs and receives theirs.
class NoticeSocket {
public:
  using Endpoint = boost::asio::ip::udp::endpoint;
  using Handler = std::function<void(const Message &, const Endpoint &From)>;

  /// @param Listen The local address, and the port that all VMs use.
  /// @throws boost::system::system_error if the address can't be bound.
  NoticeSocket(boost::asio::io_context &Loop, const http::Endpoint &Listen,
               Metrics &Counters);

  /// @brief The port that the socket is bound to.
  [[nodiscard]] std::uint16_t port() const {
    return Socket.local_endpoint().port();
  }
  /// @brief Number of other VMs that messages can be sent to.
  [[nodiscard]] std::size_t peerCount() const noexcept { return Peers.size(); }
  /// @brief Starts to receive messages.
  void start(Handler OnMessage);
  /// @brief Replaces the list of the other live VMs.
  /// @param Addresses IP addresses; those that can't be parsed are skipped.
  void updatePeers(const std::vector<std::string> &Addresses);

  void send(const Message &Content, const Endpoint &To);
  /// @brief Handles the messages that have arrived, without waiting. A loop
  /// that is late would handle one of them in each turn.
  void receivePending();
  /// @brief Sends a message to some of the other VMs, chosen at random.
  /// @param Draw Returns a uniformly distributed number in [0, 1).
  /// @return To how many.
  std::size_t sendToSome(const Message &Content, std::size_t Count,
                         const std::function<double()> &Draw);

  /// @brief Sends a message to all other VMs, and again with the next calls of
  /// `repeatBroadcasts`.
  void broadcast(const Message &Content);
  /// @brief Sends a message that is of use only now to all other VMs.
  void announce(const Message &Content) { sendToAll(Content); }
  /// @brief Sends recent broadcasts once more, in case datagrams were lost.
  void repeatBroadcasts();

private:
  struct Broadcast {
    Message Content;
    Instant Happened{}; ///< What the message tells.
    int RepeatsLeft = 0;
  };

  using Buffer = std::array<unsigned char, MaxMessageBytes>;

  void sendToAll(const Message &Content);
  void receive();
  void handle(std::span<const unsigned char> Bytes, const Endpoint &From);

  boost::asio::ip::udp::socket Socket;
  std::uint16_t Port;
  Metrics &Counters;
  Handler OnMessage;
  std::vector<Endpoint> Peers;
  std::vector<Broadcast> Recent;
  Buffer Incoming{};
  Endpoint Sender;
};

} // namespace goldcrestnotch::notices
