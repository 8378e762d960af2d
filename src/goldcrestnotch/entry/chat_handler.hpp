/// @file
/// Serves chat requests: admission, placement, streaming, resumption, bill.

#pragma once

#include "goldcrestnotch/entry/context.hpp"
#include "goldcrestnotch/http/server.hpp"

namespace goldcrestnotch {

/// @brief `POST /v1/chat/completions`.
class ChatHandler {
public:
  explicit ChatHandler(EntryContext &With) : With{With} {}

  /// @throws Error for whatever goes wrong before the answer begins.
  void handle(http::Exchange &Talk, const Span &Trace);

private:
  EntryContext &With;
};

} // namespace goldcrestnotch
