/// @file
/// State that all requests of a VM share. Only the traffic thread uses it.

#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>

#include "goldcrestnotch/backend/retry_budget.hpp"
#include "goldcrestnotch/backend/target_set.hpp"
#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/escrow/admission_gate.hpp"
#include "goldcrestnotch/notices/shared_quarantine.hpp"
#include "goldcrestnotch/proxy/buffer_budget.hpp"
#include "goldcrestnotch/proxy/caller_connection.hpp"
#include "goldcrestnotch/proxy/header_names.hpp"
#include "goldcrestnotch/proxy/loop_delay.hpp"
#include "goldcrestnotch/proxy/shutdown_schedule.hpp"
#include "goldcrestnotch/proxy/target_connection.hpp"
#include "goldcrestnotch/ratelimit/permits.hpp"
#include "goldcrestnotch/rollout/traffic_shift.hpp"
#include "goldcrestnotch/routing/route_table.hpp"
#include "goldcrestnotch/telemetry/line_limit.hpp"
#include "goldcrestnotch/telemetry/metrics.hpp"

namespace goldcrestnotch::proxy {

class TargetPaths;

/// @brief An attempt that waits for its response or passes it on.
struct ActiveAttempt {
  std::shared_ptr<TargetConnection> Connection;
  const CallerConnection &Caller;
  Instant Sent{}; ///< `Instant::max()` once the target has begun to respond.
};

/// Lines per second about responses that callers did not get whole.
inline constexpr std::uint32_t MaxCutLines = 20;
/// Lines per second about requests that were sent and then refused.
inline constexpr std::uint32_t MaxRefusalLines = 20;

/// @brief Shared state of the exchanges of a VM.
struct ProxyContext {
  boost::asio::io_context &Loop;
  HeaderNames Headers;
  backend::TargetSet &Targets;
  backend::RetryBudget &RetryBudget;
  ConnectionPool &Connections;
  escrow::AdmissionGate &Budgets;
  ratelimit::Permits &Permits;
  notices::SharedQuarantine &Quarantine;
  BufferBudget &Buffers;
  Metrics &Measured;
  /// Null until the first configuration has been received.
  std::shared_ptr<const routing::RouteTable> Table;
  /// Set once the VM is told to stop. Connections are then closed after the
  /// current request.
  std::optional<ShutdownSchedule> Shutdown;
  bool Ending = false; ///< No attempt goes on; implies `Shutdown`.
  std::list<ActiveAttempt> Active;
  std::size_t InProgress = 0; ///< Exchanges whose request has been read.

  /// The latest traffic shift of each service.
  std::map<routing::ServiceId, TrafficShift> TrafficShifts;
  /// Tells other VMs that a target gets a prompt of this many input tokens; may
  /// be empty.
  std::function<void(const TargetId &, std::int64_t)> AnnouncePrompt;
  /// Tells other VMs that a target has stated that it leaves; may be empty.
  std::function<void(const backend::Registration &)> AnnounceLeaving;
  /// Tells other VMs that a target must get no requests for a while; may be
  /// empty.
  std::function<void(const backend::Registration &, Millis)> AnnounceFull;
  /// Finds out whether a silent target has ended; may be empty.
  std::function<void(const backend::Registration &)> ProbeTarget;
  /// Returns how long the store has not answered; zero if it is reachable.
  std::function<Millis()> StoreOutage;
  /// Returns whether what this VM knows is too old to decide by.
  std::function<bool()> ViewOutdated;
  /// Waits, until a deadline at most, until what this VM knows of the targets
  /// is recent enough to send a request now; may be empty.
  std::function<bool(boost::asio::yield_context, Instant)> AwaitTargetView;
  /// The same for the configuration, before a request is denied; may be empty.
  std::function<bool(boost::asio::yield_context, Instant)> AwaitConfiguration;
  /// Returns how old this VM's knowledge of the targets is; may be empty.
  std::function<Millis()> TargetViewAge;
  /// Called when this VM loses its links to the targets (true) and when they
  /// are back; may be empty.
  std::function<void(bool)> OnCutOff;
  TargetPaths *Paths = nullptr; ///< Set before the first request is accepted.
  LoopDelay Delay;
  /// Of responses that callers did not get whole; lines about other requests
  /// must not use up their share.
  LineLimit CutLines{MaxCutLines};
  LineLimit RefusalLines{MaxRefusalLines};
  LineLimit UnreadableFieldLines{MaxUnreadableLines}; ///< Of responses.
  std::mt19937_64 Random{std::random_device{}()};

  /// @brief Counts a response whose status promises that its request has not
  /// run.
  /// @param Sent Whether the request had been sent to a target.
  void countRefusal(int Status, bool Sent) {
    Measured.count("not_run_responses_total{status=\"" +
                   std::to_string(Status) + "\",sent=\"" +
                   (Sent ? "yes" : "no") + "\"}");
  }
  /// @brief Ends the attempts whose callers have no part of a response and
  /// whose targets have sent nothing that is not read yet, so that the callers
  /// are told before the process ends. No further attempt begins.
  void endSilentAttempts() {
    Ending = true;
    for (const auto &Attempt : Active) {
      boost::system::error_code Failure;
      if (!Attempt.Caller.started() &&
          Attempt.Connection->Socket.socket().available(Failure) == 0) {
        Attempt.Connection->Socket.close();
      }
    }
  }
  /// @brief Ends all attempts.
  void endAttempts() {
    Ending = true;
    for (const auto &Attempt : Active) {
      Attempt.Connection->Socket.close();
    }
  }

  /// @brief Returns a uniformly distributed random number in [0, 1).
  [[nodiscard]] double draw() {
    return std::uniform_real_distribution<double>{0.0, 1.0}(Random);
  }
};

} // namespace goldcrestnotch::proxy
