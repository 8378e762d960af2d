/// @file
/// The operators' API: intents, plans, confirmation, and what is in force.

#pragma once

#include "goldcrestnotch/entry/context.hpp"
#include "goldcrestnotch/http/server.hpp"

namespace goldcrestnotch {

/// @brief `/operator/v1/...`.
class OperatorHandler {
public:
  explicit OperatorHandler(EntryContext &With);

  /// @throws Error for whatever goes wrong.
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

  void append(http::Exchange &Talk, const ConfigRecord &What, Instant Until);
  [[nodiscard]] bool waitFor(http::Exchange &Talk,
                             std::function<bool()> Condition, Instant Until);

  EntryContext &With;
  LogClient Log;
};

} // namespace goldcrestnotch
