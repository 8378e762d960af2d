/// @file
/// The operator API: intents, plans, their confirmation, and the current state.

#pragma once

#include "goldcrestnotch/entry/context.hpp"
#include "goldcrestnotch/http/server.hpp"

namespace goldcrestnotch {

/// @brief Handles `/operator/v1/...`.
class OperatorHandler {
public:
  explicit OperatorHandler(EntryContext &With);

  /// @brief Authenticates the operator, runs the operation and replies.
  /// @throws Error if the operation is rejected or fails.
  void handle(http::Exchange &Talk);

private:
  [[nodiscard]] http::Response route(http::Exchange &Talk);
  [[nodiscard]] http::Response state(http::Exchange &Talk);
  [[nodiscard]] http::Response confirm(http::Exchange &Talk,
                                       const PlanId &Name);
  [[nodiscard]] http::Response show(http::Exchange &Talk, const PlanId &Name);
  [[nodiscard]] http::Response spend(http::Exchange &Talk);
  [[nodiscard]] http::Response status(http::Exchange &Talk);
  [[nodiscard]] http::Response fleet();

  /// @brief Appends a record to the `config` log, with retries until the
  /// deadline.
  /// @throws Error with status 503 and verdict `MayHaveRun` if the deadline
  /// passes.
  void append(http::Exchange &Talk, const ConfigRecord &What, Instant Until);
  /// @brief Waits until the condition holds for the applied configuration.
  /// @return False if it does not hold by the deadline.
  [[nodiscard]] bool waitFor(http::Exchange &Talk,
                             std::function<bool()> Condition, Instant Until);

  EntryContext &With;
  LogClient Log;
};

} // namespace goldcrestnotch
