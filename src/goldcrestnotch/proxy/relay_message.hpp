/// @file
/// The request by which a VM lets another one open a connection to a target: an
/// HTTP `CONNECT`. After a positive answer both copy bytes.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>

#include "goldcrestnotch/backend/target.hpp"

namespace goldcrestnotch::proxy {

// Status codes of the answer.

/// Bytes are copied from now on.
inline constexpr int RelayConnected = 200;
/// The request was malformed.
inline constexpr int RelayMalformed = 400;
/// The relay knows no such run of the target, or it must get no requests.
inline constexpr int RelayTargetUnwanted = 410;
/// The relay works, but nothing listens at the target's address.
inline constexpr int RelayTargetRefused = 502;
/// The relay does not reach the targets itself.
inline constexpr int RelayCutOff = 503;
/// The relay works, but the target does not answer.
inline constexpr int RelayTargetSilent = 504;
/// The relay has no room.
inline constexpr int RelayBusy = 429;

using RelayRequest =
    boost::beast::http::request<boost::beast::http::empty_body>;

/// @brief One run of a target.
struct RelayedRun {
  TargetId Name;
  std::uint64_t Incarnation = 0;
};

[[nodiscard]] RelayRequest
encodeRelayRequest(const backend::Registration &Target);
/// @return Nothing if the request is not a valid one.
[[nodiscard]] std::optional<RelayedRun>
decodeRelayRequest(const RelayRequest &Request);

} // namespace goldcrestnotch::proxy
