/// @file
/// CBOR encoding of peer messages.

#include "goldcrestnotch/peer/message.hpp"

#include <stdexcept>

#include <nlohmann/json.hpp>

namespace goldcrestnotch {

using nlohmann::json;

namespace internal {

/// @brief Converts each message type to JSON, from which CBOR is made.
struct PeerWriter {
  json operator()(const PeerHello &M) const {
    return {
        {"t", "hello"}, {"v", M.Version}, {"vm", M.From.str()}, {"n", M.Nonce}};
  }
  json operator()(const PeerProof &M) const {
    return {{"t", "proof"}, {"m", M.Mac}};
  }
  json operator()(const PeerDigest &M) const {
    return {{"t", "digest"}, {"c", M.Config}, {"r", M.Rollout}};
  }
  json operator()(const PeerState &M) const {
    return {{"t", "state"}, {"s", M.Stream}, {"d", M.Saved}};
  }
};

[[nodiscard]] static PeerMessage read(const json &Source) {
  const auto Kind = Source.at("t").get<std::string>();
  if (Kind == "hello") {
    return PeerHello{Source.at("v").get<std::uint32_t>(),
                     VmId{Source.at("vm").get<std::string>()},
                     Source.at("n").get<std::string>()};
  }
  if (Kind == "proof") {
    return PeerProof{Source.at("m").get<std::string>()};
  }
  if (Kind == "digest") {
    return PeerDigest{Source.at("c").get<std::uint64_t>(),
                      Source.at("r").get<std::uint64_t>()};
  }
  if (Kind == "state") {
    return PeerState{Source.at("s").get<std::string>(),
                     Source.at("d").get<std::string>()};
  }
  throw std::invalid_argument{"peer message has an unknown type"};
}

} // namespace internal

std::string encode(const PeerMessage &Source) {
  const auto Bytes = json::to_cbor(std::visit(internal::PeerWriter{}, Source));
  return {Bytes.begin(), Bytes.end()};
}

PeerMessage decodePeer(std::string_view Bytes) {
  try {
    return internal::read(json::from_cbor(Bytes.begin(), Bytes.end()));
  } catch (const json::exception &Failure) {
    throw std::invalid_argument{Failure.what()};
  }
}

} // namespace goldcrestnotch
