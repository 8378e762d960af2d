/// @file
/// Hints over UDP.

#include "goldcrestnotch/backend/placement_hints.hpp"

#include <algorithm>

#include <boost/asio/buffer.hpp>
#include <boost/endian/conversion.hpp>

#include "goldcrestnotch/core/hash.hpp"

namespace goldcrestnotch::backend {

namespace asio = boost::asio;
namespace endian = boost::endian;
using asio::ip::udp;

namespace internal {

static constexpr std::size_t HashBytes = 8;

} // namespace internal

PlacementHints::PlacementHints(asio::io_context &Loop,
                               const http::Endpoint &Where, TargetSet &Targets)
    : Socket{Loop,
             udp::endpoint{asio::ip::make_address(Where.Address), Where.Port}},
      Port{Where.Port}, Targets{Targets} {
  Socket.non_blocking(true);
}

void PlacementHints::updatePeers(const std::vector<std::string> &Addresses) {
  Peers.clear();
  for (const auto &One : Addresses) {
    boost::system::error_code Failure;
    const auto Address = asio::ip::make_address(One, Failure);
    if (!Failure) {
      Peers.emplace_back(Address, Port);
    }
  }
}

void PlacementHints::send(const TargetId &Name, std::int64_t Tokens) {
  const auto Count = static_cast<std::int64_t>(Peers.size());
  if (Tokens < std::max(MinTokens, MinTokensPerPeer * Count)) {
    return;
  }
  Datagram Bytes{};
  endian::store_big_u64(Bytes.data(), hashOf(Name.str()));
  endian::store_big_u32(Bytes.data() + internal::HashBytes,
                        static_cast<std::uint32_t>(Tokens));
  for (const auto &Peer : Peers) {
    boost::system::error_code Ignored; // A hint that is not sent is lost.
    Socket.send_to(asio::buffer(Bytes), Peer, 0, Ignored);
  }
}

void PlacementHints::receive() {
  Socket.async_receive_from(
      asio::buffer(Incoming), Sender,
      [this](const boost::system::error_code &Failure, std::size_t Count) {
        if (Failure == asio::error::operation_aborted) {
          return;
        }
        if (!Failure && Count == Incoming.size()) {
          Targets.observePrompt(
              DecisionClock::now(), endian::load_big_u64(Incoming.data()),
              endian::load_big_u32(Incoming.data() + internal::HashBytes));
        }
        receive();
      });
}

} // namespace goldcrestnotch::backend
