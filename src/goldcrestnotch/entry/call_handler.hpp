/// @file
/// Serves calls of services other than chat. Calls of idempotent routes are
/// retried. Any other call with an idempotency key first claims it in the
/// ledger, so that it runs at most once.

#pragma once

#include "goldcrestnotch/entry/context.hpp"
#include "goldcrestnotch/http/server.hpp"

namespace goldcrestnotch {

/// @brief Handles `/v1/services/<route>/...`.
class CallHandler {
public:
  explicit CallHandler(EntryContext &Context) : Context{Context} {}

  /// @brief Forwards a call to a target of the route and replies with its
  /// response.
  /// @throws Error if the call is rejected or fails; the verdict says whether
  /// it may have run.
  void handle(http::Exchange &Exchange, const Span &Trace);

private:
  EntryContext &Context;
};

} // namespace goldcrestnotch
