/// @file
/// Serves calls of plain services; those that may not be repeated run only
/// under a claim.

#pragma once

#include "goldcrestnotch/entry/context.hpp"
#include "goldcrestnotch/http/server.hpp"

namespace goldcrestnotch {

/// @brief `/v1/services/<route>/...`.
class CallHandler {
public:
  explicit CallHandler(EntryContext &With) : With{With} {}

  /// @throws Error for whatever goes wrong.
  void handle(http::Exchange &Talk, const Span &Trace);

private:
  EntryContext &With;
};

} // namespace goldcrestnotch
