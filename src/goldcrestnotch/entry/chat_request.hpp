/// @file
/// Parsing and validation of chat requests.

#pragma once

#include <cstdint>
#include <string>

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/core/tokens.hpp"
#include "goldcrestnotch/http/message.hpp"
#include "goldcrestnotch/settings/settings.hpp"

namespace goldcrestnotch {

/// @brief A validated chat request.
struct ChatRequest {
  RouteId RouteName; ///< Field `model` of the request.
  bool Stream = false;
  std::int64_t MaxTokens = 0;
  Tokens Bound;            ///< Upper bound of the tokens used.
  std::string AffinityKey; ///< Digest of the first message.
  std::string Body;        ///< Body to send to the target.

  /// @brief Parses a request body. In the body for the target, streaming and
  /// usage reports are switched on and `max_tokens` is always set.
  /// @throws Error with status 400 that names the invalid field.
  [[nodiscard]] static ChatRequest parse(const http::Request &Request,
                                         const Settings &Config);
};

} // namespace goldcrestnotch
