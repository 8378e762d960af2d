/// @file
/// CBOR encoding of peer messages.

#include "goldcrestnotch/peer/message.hpp"

#include <stdexcept>

#include <nlohmann/json.hpp>

#include "goldcrestnotch/core/bounded_cbor.hpp"

namespace goldcrestnotch {

using nlohmann::json;

namespace internal {

/// @brief Converts each message type to JSON, from which CBOR is made.
struct PeerMessageToJson {
  json operator()(const PeerHello &Message) const {
    return {{"t", "hello"},
            {"v", Message.Version},
            {"vm", Message.From.str()},
            {"n", Message.Nonce}};
  }
  json operator()(const PeerProof &Message) const {
    return {{"t", "proof"}, {"m", Message.Mac}};
  }
  json operator()(const PeerDigest &Message) const {
    return {{"t", "digest"}, {"c", Message.Config}, {"r", Message.Rollout}};
  }
  json operator()(const PeerSnapshot &Message) const {
    return {{"t", "state"}, {"s", Message.Stream}, {"d", Message.Data}};
  }
};

[[nodiscard]] static PeerMessage parse(const json &Source) {
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
    return PeerSnapshot{Source.at("s").get<std::string>(),
                        Source.at("d").get<std::string>()};
  }
  throw std::invalid_argument{"peer message has an unknown type"};
}

} // namespace internal

std::string encode(const PeerMessage &Message) {
  const auto Bytes =
      json::to_cbor(std::visit(internal::PeerMessageToJson{}, Message));
  return {Bytes.begin(), Bytes.end()};
}

PeerMessage decodePeer(std::string_view Bytes) {
  try {
    return internal::parse(decodeCbor(Bytes));
  } catch (const json::exception &Failure) {
    throw std::invalid_argument{Failure.what()};
  }
}

} // namespace goldcrestnotch
