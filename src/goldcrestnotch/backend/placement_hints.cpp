/// @file
/// Implementation of the UDP placement hints.

#include "goldcrestnotch/backend/placement_hints.hpp"

#include <algorithm>
#include <limits>

#include <boost/asio/buffer.hpp>
#include <boost/endian/conversion.hpp>

#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/roster/udp_endpoints.hpp"

namespace goldcrestnotch::backend {

namespace asio = boost::asio;
namespace endian = boost::endian;
using asio::ip::udp;

namespace internal {

static constexpr std::size_t HashBytes = 8;

} // namespace internal

PlacementHints::PlacementHints(asio::io_context &Loop,
                               const http::Endpoint &Listen, TargetSet &Targets)
    : Socket{Loop, udp::endpoint{asio::ip::make_address(Listen.Address),
                                 Listen.Port}},
      Port{Listen.Port}, Targets{Targets} {
  Socket.non_blocking(true);
}

void PlacementHints::updatePeers(const std::vector<std::string> &Addresses) {
  Peers = roster::udpEndpoints(Addresses, Port);
}

void PlacementHints::send(const TargetId &Name, std::int64_t PromptTokens) {
  const auto PeerCount = static_cast<std::int64_t>(Peers.size());
  if (PromptTokens < std::max(MinTokens, MinTokensPerPeer * PeerCount)) {
    return;
  }
  Datagram Bytes{};
  endian::store_big_u64(Bytes.data(), hashOf(Name.str()));
  endian::store_big_u32(
      Bytes.data() + internal::HashBytes,
      static_cast<std::uint32_t>(std::min<std::int64_t>(
          PromptTokens, std::numeric_limits<std::uint32_t>::max())));
  for (const auto &Peer : Peers) {
    // Hints are best-effort: send errors are ignored.
    boost::system::error_code Ignored;
    Socket.send_to(asio::buffer(Bytes), Peer, 0, Ignored);
  }
}

void PlacementHints::receive() {
  Socket.async_receive_from(
      asio::buffer(Incoming), Sender,
      [this](const boost::system::error_code &Failure, std::size_t ByteCount) {
        if (Failure == asio::error::operation_aborted) {
          return;
        }
        if (!Failure && ByteCount == Incoming.size()) {
          Targets.observePrompt(
              DecisionClock::now(), endian::load_big_u64(Incoming.data()),
              endian::load_big_u32(Incoming.data() + internal::HashBytes));
        }
        receive();
      });
}

} // namespace goldcrestnotch::backend
