/// @file
/// Serves chat requests: budget admission, placement, streaming, resumption on
/// another target, and billing.

#pragma once

#include "goldcrestnotch/entry/context.hpp"
#include "goldcrestnotch/http/server.hpp"

namespace goldcrestnotch {

/// @brief Handles `POST /v1/chat/completions`.
class ChatHandler {
public:
  explicit ChatHandler(EntryContext &Context) : Context{Context} {}

  /// @brief Serves a chat request from admission to billing.
  /// @throws Error if the request fails before the response starts; a later
  /// error is sent as the last event of the stream.
  void handle(http::Exchange &Exchange, const Span &Trace);

private:
  EntryContext &Context;
};

} // namespace goldcrestnotch
