/// @file
/// A published configuration as plain values: routes, services, workspaces and
/// the limits on caller connections.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/core/tokens.hpp"

namespace goldcrestnotch::routing {

/// A named group of targets that run the same program.
using ServiceId = Id<struct ServiceTag>;

/// @brief Whether a request that may have run can be sent to a target again.
enum class RetryClass : std::uint8_t {
  Idempotent,    ///< It may run any number of times.
  NotIdempotent, ///< It must run at most once.
  Stream,        ///< It must run at most once, unless the route is resumable.
};

/// @brief A service with its share of a route's traffic.
struct WeightedService {
  ServiceId Name;
  double Weight = 1;
};

/// @brief Settings for the requests of one host below one path prefix.
struct Route {
  RouteId Name;
  std::string Host;
  std::string Prefix; ///< Begins and ends with a slash.
  RetryClass Retry = RetryClass::NotIdempotent;
  Millis Timeout{0};           ///< Longest that a caller waits; 0: default.
  Millis LatencyObjective{0};  ///< Time to the answer or its first event.
  int Priority = 0;            ///< Zero is the highest priority.
  int MaxAttempts = 1;         ///< Number of targets a request may be sent to.
  bool Public = false;         ///< No key is required.
  bool PrefixAffinity = false; ///< Requests share prompt prefixes.
  bool Resumable = false;      ///< A stream may continue at another target.
  Millis EventGapObjective{0}; ///< Longest acceptable gap between two events.
  std::vector<WeightedService> Services; ///< Not empty.
};

/// @brief Properties of the model engines of a service.
struct EngineTraits {
  std::int64_t MaxBatch = 0;          ///< Number of requests that run at once.
  Tokens KvCapacity;                  ///< Size of one engine's KV cache.
  std::int64_t MaxTokensPerEvent = 1; ///< Output tokens in one event, at most.
};

/// @brief Settings of a group of targets.
struct Service {
  ServiceId Name;
  std::string HealthPath;
  std::int64_t MaxConnections = 0; ///< To one target, over all VMs.
  std::optional<EngineTraits> Engine;
};

/// @brief A customer with its keys and budget.
struct Workspace {
  WorkspaceId Name;
  std::vector<std::string> Keys;
  std::optional<int> Priority;   ///< Overrides the priority of the route.
  std::optional<Tokens> Prepaid; ///< The budget; unlimited if absent.
};

/// @brief Limits on the size and slowness of callers' requests.
struct CallerLimits {
  std::uint32_t MaxHeaderBytes = 16'384;
  std::uint64_t MaxBodyBytes = 4'194'304;
  Millis HeaderTimeout{3'000}; ///< From a request's first byte to the end of
                               ///< its header.
  Millis IdleTimeout{15'000};  ///< Between two requests of a connection.
};

/// @brief A configuration as it was published.
struct Configuration {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<Service> Services;
  std::vector<Workspace> Workspaces;
  bool KeyRequired = false; ///< Routes that are not public require a key.
  CallerLimits Limits;
};

} // namespace goldcrestnotch::routing
