/// @file
/// Sending and receiving of notices.

#include "goldcrestnotch/notices/notice_socket.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>

#include "goldcrestnotch/roster/udp_endpoints.hpp"

namespace goldcrestnotch::notices {

namespace asio = boost::asio;
using asio::ip::udp;

namespace internal {

static constexpr int BroadcastRepeats = 2;
/// Largest number of messages that are handled at a time.
static constexpr int MaxPending = 256;

} // namespace internal

NoticeSocket::NoticeSocket(asio::io_context &Loop, const http::Endpoint &Listen,
                           Metrics &Counters)
    : Socket{Loop, udp::endpoint{asio::ip::make_address(Listen.Address),
                                 Listen.Port}},
      Port{Socket.local_endpoint().port()}, Counters{Counters} {
  Socket.non_blocking(true);
}

void NoticeSocket::start(Handler MessageHandler) {
  OnMessage = std::move(MessageHandler);
  receive();
}

void NoticeSocket::updatePeers(const std::vector<std::string> &Addresses) {
  Peers = roster::udpEndpoints(Addresses, Port);
}

void NoticeSocket::send(const Message &Content, const Endpoint &To) {
  const auto Bytes = encode(Content);
  // A datagram that can't be sent counts as lost.
  boost::system::error_code Ignored;
  Socket.send_to(asio::buffer(Bytes), To, 0, Ignored);
}

std::size_t NoticeSocket::sendToSome(const Message &Content, std::size_t Count,
                                     const std::function<double()> &Draw) {
  Count = std::min(Count, Peers.size());
  // The first `Count` positions of a random permutation.
  for (std::size_t I = 0; I < Count; ++I) {
    const auto Remaining = static_cast<double>(Peers.size() - I);
    std::swap(Peers[I],
              Peers[I + static_cast<std::size_t>(Draw() * Remaining)]);
    send(Content, Peers[I]);
  }
  return Count;
}

void NoticeSocket::sendToAll(const Message &Content) {
  const auto Bytes = encode(Content);
  for (const auto &Peer : Peers) {
    boost::system::error_code Ignored; // As in `send`.
    Socket.send_to(asio::buffer(Bytes), Peer, 0, Ignored);
  }
}

void NoticeSocket::broadcast(const Message &Content) {
  sendToAll(Content);
  const auto *Crash = std::get_if<CrashNotice>(&Content);
  Recent.push_back({Content,
                    DecisionClock::now() - (Crash ? Crash->Age : Millis{0}),
                    internal::BroadcastRepeats});
}

void NoticeSocket::repeatBroadcasts() {
  for (auto &Entry : Recent) {
    if (auto *Crash = std::get_if<CrashNotice>(&Entry.Content)) {
      Crash->Age = DecisionClock::now() - Entry.Happened;
    }
    sendToAll(Entry.Content);
    --Entry.RepeatsLeft;
  }
  std::erase_if(Recent,
                [](const Broadcast &Entry) { return Entry.RepeatsLeft <= 0; });
}

void NoticeSocket::handle(std::span<const unsigned char> Bytes,
                          const Endpoint &From) {
  if (const auto Content = decodeMessage(Bytes)) {
    OnMessage(*Content, From);
  } else {
    Counters.count("notices_unreadable_total");
  }
}

void NoticeSocket::receivePending() {
  Buffer Bytes{};
  Endpoint From;
  boost::system::error_code Failure;
  for (int I = 0; I < internal::MaxPending; ++I) {
    const auto Count =
        Socket.receive_from(asio::buffer(Bytes), From, 0, Failure);
    if (Failure) {
      return; // Nothing is left, or the next asynchronous read reports it.
    }
    handle(std::span{Bytes}.first(Count), From);
  }
}

void NoticeSocket::receive() {
  Socket.async_receive_from(
      asio::buffer(Incoming), Sender,
      [this](const boost::system::error_code &Failure, std::size_t ByteCount) {
        if (Failure == asio::error::operation_aborted) {
          return;
        }
        if (!Failure) {
          handle(std::span{Incoming}.first(ByteCount), Sender);
        }
        receivePending();
        receive();
      });
}

} // namespace goldcrestnotch::notices
