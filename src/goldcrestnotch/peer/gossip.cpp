/// @file
/// Peer authentication, and detection of peers that lag behind this VM.

#include "goldcrestnotch/peer/gossip.hpp"

#include <algorithm>
#include <stdexcept>

#include "goldcrestnotch/core/hash.hpp"

namespace goldcrestnotch {

namespace internal {

/// How long a peer may lag before it is sent a snapshot. A peer that reads the
/// log itself catches up in less time than this.
static constexpr Millis MaxLag{700};

} // namespace internal

std::size_t Gossip::authenticatedCount() const noexcept {
  return static_cast<std::size_t>(std::count_if(
      Connections.begin(), Connections.end(),
      [](const auto &Entry) { return Entry.second.Authenticated; }));
}

bool Gossip::isAuthenticated(const VmId &Name) const noexcept {
  return std::any_of(
      Connections.begin(), Connections.end(), [&](const auto &Entry) {
        return Entry.second.Authenticated && Entry.second.Name == Name;
      });
}

std::vector<PeerAction> Gossip::open(PeerHandle Handle, std::string Nonce) {
  Connection Added;
  Added.Nonce = Nonce;
  Connections.insert_or_assign(Handle, Added);
  return {
      PeerSend{Handle, PeerHello{PeerProtocolVersion, Self, std::move(Nonce)}}};
}

std::vector<PeerAction> Gossip::receive(Instant Now, PeerHandle From,
                                        const std::string &Bytes) {
  const auto It = Connections.find(From);
  if (It == Connections.end()) {
    return {PeerReject{From, "message on an unknown connection"}};
  }
  try {
    const auto Message = decodePeer(Bytes);
    return std::visit(
        [&](const auto &Payload) {
          return handle(Now, From, It->second, Payload);
        },
        Message);
  } catch (const std::invalid_argument &Failure) {
    return {PeerReject{From, Failure.what()}};
  }
}

std::vector<PeerAction> Gossip::handle(Instant, PeerHandle From,
                                       Connection &Sender,
                                       const PeerHello &Message) {
  if (Message.Version != PeerProtocolVersion) {
    return {PeerReject{From, "peer protocol version is not supported"}};
  }
  if (Message.From == Self || !Sender.Name.empty()) {
    return {PeerReject{From, "unexpected hello message"}};
  }
  Sender.Name = Message.From;
  return {PeerSend{From, PeerProof{mac(Self, Message.Nonce)}}};
}

std::vector<PeerAction> Gossip::handle(Instant, PeerHandle From,
                                       Connection &Sender,
                                       const PeerProof &Message) {
  if (Sender.Name.empty() ||
      !sameSecret(Message.Mac, mac(Sender.Name, Sender.Nonce))) {
    return {PeerReject{From, "proof does not match the peer key"}};
  }
  Sender.Authenticated = true;
  return {PeerSend{From, OwnDigest}};
}

std::vector<PeerAction> Gossip::handle(Instant Now, PeerHandle From,
                                       Connection &Sender,
                                       const PeerDigest &Message) {
  if (!Sender.Authenticated) {
    return {PeerReject{From, "digest received before the proof"}};
  }
  const bool IsBehind =
      Message.Config < OwnDigest.Config || Message.Rollout < OwnDigest.Rollout;
  if (!IsBehind) {
    Sender.BehindSince = Instant::max();
    return {};
  }
  if (Sender.BehindSince == Instant::max()) {
    Sender.BehindSince = Now;
    return {};
  }
  if (Now - Sender.BehindSince < internal::MaxLag) {
    return {};
  }
  Sender.BehindSince = Instant::max();
  std::vector<PeerAction> Result;
  if (Message.Config < OwnDigest.Config) {
    Result.emplace_back(PeerSendSnapshot{From, "config"});
  }
  if (Message.Rollout < OwnDigest.Rollout) {
    Result.emplace_back(PeerSendSnapshot{From, "rollout"});
  }
  return Result;
}

std::vector<PeerAction> Gossip::handle(Instant, PeerHandle From,
                                       Connection &Sender,
                                       const PeerSnapshot &Message) {
  if (!Sender.Authenticated) {
    return {PeerReject{From, "snapshot received before the proof"}};
  }
  return {PeerApplySnapshot{Message}};
}

std::vector<PeerAction> Gossip::broadcastDigest(const PeerDigest &Digest) {
  OwnDigest = Digest;
  std::vector<PeerAction> Result;
  for (const auto &[Handle, Receiver] : Connections) {
    if (Receiver.Authenticated) {
      Result.emplace_back(PeerSend{Handle, OwnDigest});
    }
  }
  return Result;
}

std::string Gossip::mac(const VmId &Prover, const std::string &Nonce) const {
  return macOf(SharedKey, Prover.str() + "\n" + Nonce);
}

} // namespace goldcrestnotch
