/// @file
/// A caller's chat request, checked.

#pragma once

#include <cstdint>
#include <string>

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/core/tokens.hpp"
#include "goldcrestnotch/http/message.hpp"
#include "goldcrestnotch/settings/settings.hpp"

namespace goldcrestnotch {

/// @brief What a caller asks of a model.
struct ChatRequest {
  RouteId On; ///< Named by `model`.
  bool Stream = false;
  std::int64_t MaxTokens = 0;
  Tokens Bound;         ///< The most that it can spend.
  std::string Affinity; ///< Equal for equal first messages.
  std::string Body;     ///< For the engine, with the bound set.

  /// @throws Error with status 400 that names the fault.
  [[nodiscard]] static ChatRequest parse(const http::Request &Asked,
                                         const Settings &Given);
};

} // namespace goldcrestnotch
