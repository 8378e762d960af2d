/// @file
/// What all exchanges of a VM share. One thread uses it.

#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include <boost/asio/io_context.hpp>

#include "goldcrestnotch/backend/retry_budget.hpp"
#include "goldcrestnotch/backend/target_set.hpp"
#include "goldcrestnotch/escrow/gate.hpp"
#include "goldcrestnotch/proxy/dialect.hpp"
#include "goldcrestnotch/proxy/link.hpp"
#include "goldcrestnotch/proxy/loop_delay.hpp"
#include "goldcrestnotch/rollout/traffic_shift.hpp"
#include "goldcrestnotch/routing/route_table.hpp"
#include "goldcrestnotch/telemetry/metrics.hpp"

namespace goldcrestnotch::proxy {

/// @brief The state around exchanges.
struct Environment {
  boost::asio::io_context &Loop;
  Dialect Names;
  backend::TargetSet &Targets;
  backend::RetryBudget &Retries;
  LinkPool &Links;
  escrow::Gate &Budgets;
  Metrics &Measured;
  std::shared_ptr<const routing::RouteTable>
      Table; ///< Null until one is known.
  bool Draining = false;
  bool Closing = false;       ///< New requests are refused; implies `Draining`.
  std::size_t InProgress = 0; ///< Exchanges whose request has been read.
  std::map<routing::ServiceId, TrafficShift>
      Moves; ///< The last of each service.
  /// Tells other VMs that a target gets a prompt; may be empty.
  std::function<void(const TargetId &, std::int64_t)> Announce;
  /// How long the store has not answered; zero while it does.
  std::function<Millis()> StoreAway;
  LoopDelay Delay;
  std::mt19937_64 Random{std::random_device{}()};

  /// @brief A number in [0, 1).
  [[nodiscard]] double draw() {
    return std::uniform_real_distribution<double>{0.0, 1.0}(Random);
  }
};

} // namespace goldcrestnotch::proxy
