/// @file
/// The operator API: intents, plans, their confirmation, and the current state.

#pragma once

#include "goldcrestnotch/entry/context.hpp"
#include "goldcrestnotch/http/server.hpp"

namespace goldcrestnotch {

/// @brief Handles `/operator/v1/...`.
class OperatorHandler {
public:
  explicit OperatorHandler(EntryContext &Context);

  /// @brief Authenticates the operator, runs the operation and replies.
  /// @throws Error if the operation is rejected or fails.
  void handle(http::Exchange &Exchange);

private:
  [[nodiscard]] http::Response route(http::Exchange &Exchange);
  [[nodiscard]] http::Response statePlan(http::Exchange &Exchange);
  [[nodiscard]] http::Response confirmPlan(http::Exchange &Exchange,
                                           const PlanId &Name);
  [[nodiscard]] http::Response showPlan(http::Exchange &Exchange,
                                        const PlanId &Name);
  [[nodiscard]] http::Response spend(http::Exchange &Exchange);
  [[nodiscard]] http::Response status(http::Exchange &Exchange);
  [[nodiscard]] http::Response fleet();

  /// @brief Appends a record to the `config` log, with retries until the
  /// deadline.
  /// @throws Error with status 503 and verdict `MayHaveRun` if the deadline
  /// passes.
  void append(http::Exchange &Exchange, const ConfigRecord &Record,
              Instant Deadline);
  /// @brief Waits until the condition holds for the applied configuration.
  /// @return False if it does not hold by the deadline.
  [[nodiscard]] bool waitFor(http::Exchange &Exchange,
                             std::function<bool()> Condition, Instant Deadline);

  EntryContext &Context;
  LogClient Log;
};

} // namespace goldcrestnotch
