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
static constexpr Millis BehindPatience{700};

} // namespace internal

std::size_t Gossip::size() const noexcept {
  return static_cast<std::size_t>(
      std::count_if(Ends.begin(), Ends.end(),
                    [](const auto &Entry) { return Entry.second.Proved; }));
}

bool Gossip::contains(const VmId &Name) const noexcept {
  return std::any_of(Ends.begin(), Ends.end(), [&](const auto &Entry) {
    return Entry.second.Proved && Entry.second.Name == Name;
  });
}

std::vector<PeerAction> Gossip::open(PeerHandle Which, std::string Nonce) {
  End Fresh;
  Fresh.Nonce = Nonce;
  Ends.insert_or_assign(Which, Fresh);
  return {PeerSend{Which, PeerHello{PeerVersion, Self, std::move(Nonce)}}};
}

std::vector<PeerAction> Gossip::receive(Instant Now, PeerHandle From,
                                        const std::string &Bytes) {
  const auto It = Ends.find(From);
  if (It == Ends.end()) {
    return {PeerReject{From, "message on an unknown connection"}};
  }
  try {
    const auto What = decodePeer(Bytes);
    return std::visit(
        [&](const auto &M) { return take(Now, From, It->second, M); }, What);
  } catch (const std::invalid_argument &Failure) {
    return {PeerReject{From, Failure.what()}};
  }
}

std::vector<PeerAction> Gossip::take(Instant, PeerHandle From, End &At,
                                     const PeerHello &What) {
  if (What.Version != PeerVersion) {
    return {PeerReject{From, "peer protocol version is not supported"}};
  }
  if (What.From == Self || !At.Name.empty()) {
    return {PeerReject{From, "unexpected hello message"}};
  }
  At.Name = What.From;
  return {PeerSend{From, PeerProof{mac(Self, What.Nonce)}}};
}

std::vector<PeerAction> Gossip::take(Instant, PeerHandle From, End &At,
                                     const PeerProof &What) {
  if (At.Name.empty() || !sameSecret(What.Mac, mac(At.Name, At.Nonce))) {
    return {PeerReject{From, "proof does not match the peer key"}};
  }
  At.Proved = true;
  return {PeerSend{From, Own}};
}

std::vector<PeerAction> Gossip::take(Instant Now, PeerHandle From, End &At,
                                     const PeerDigest &What) {
  if (!At.Proved) {
    return {PeerReject{From, "digest received before the proof"}};
  }
  const bool Behind = What.Config < Own.Config || What.Rollout < Own.Rollout;
  if (!Behind) {
    At.BehindSince = Instant::max();
    return {};
  }
  if (At.BehindSince == Instant::max()) {
    At.BehindSince = Now;
    return {};
  }
  if (Now - At.BehindSince < internal::BehindPatience) {
    return {};
  }
  At.BehindSince = Instant::max();
  std::vector<PeerAction> Result;
  if (What.Config < Own.Config) {
    Result.emplace_back(PeerHelp{From, "config"});
  }
  if (What.Rollout < Own.Rollout) {
    Result.emplace_back(PeerHelp{From, "rollout"});
  }
  return Result;
}

std::vector<PeerAction> Gossip::take(Instant, PeerHandle From, End &At,
                                     const PeerState &What) {
  if (!At.Proved) {
    return {PeerReject{From, "snapshot received before the proof"}};
  }
  return {PeerAdopt{What}};
}

std::vector<PeerAction> Gossip::tell(const PeerDigest &Digest) {
  Own = Digest;
  std::vector<PeerAction> Result;
  for (const auto &[Which, At] : Ends) {
    if (At.Proved) {
      Result.emplace_back(PeerSend{Which, Own});
    }
  }
  return Result;
}

std::string Gossip::mac(const VmId &Prover, const std::string &Nonce) const {
  return macOf(Key, Prover.str() + "\n" + Nonce);
}

} // namespace goldcrestnotch
