/// @file
/// The datagrams that VMs exchange about targets with a rate limit, in CBOR.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>

#include "goldcrestnotch/core/request_rate.hpp"
#include "goldcrestnotch/ratelimit/permit_issuer.hpp"

namespace goldcrestnotch::ratelimit {

/// Every message is shorter than this.
inline constexpr std::size_t MaxMessageBytes = 64;

/// @brief Asks an issuer for a permit.
struct PermitRequest {
  std::uint64_t Nonce = 0;      ///< Identifies the response.
  std::uint64_t TargetHash = 0; ///< `hashOf` the target's name.
  RequestRate Limit{1};         ///< As the requester knows it.
  Millis MaxWait{0};
};

/// @brief The response to a request for a permit.
struct PermitResponse {
  std::uint64_t Nonce = 0;
  Permit Result;
};

/// @brief Says that a target states a limit, or that it states none any more.
struct LimitNotice {
  std::uint64_t TargetHash = 0;
  std::optional<RequestRate> Limit;
};

using Message = std::variant<PermitRequest, PermitResponse, LimitNotice>;

/// @brief Encodes a message.
[[nodiscard]] std::string encode(const Message &Source);
/// @brief Decodes a message.
/// @return Nothing if the bytes are not a valid message.
[[nodiscard]] std::optional<Message>
decodeMessage(std::span<const unsigned char> Bytes);

} // namespace goldcrestnotch::ratelimit
