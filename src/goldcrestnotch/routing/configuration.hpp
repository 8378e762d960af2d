/// @file
/// One published configuration as plain values: routes, services, workspaces
/// and what callers may send.

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

/// @brief What may be done again with a request that may have run.
enum class RetryClass : std::uint8_t {
  Idempotent,    ///< It may run any number of times.
  NotIdempotent, ///< It may run once.
  Stream,        ///< It may run once, unless the route is resumable.
};

/// @brief A service with its part of a route's traffic.
struct WeightedService {
  ServiceId Name;
  double Weight = 1;
};

/// @brief Requests of one host below one path.
struct Route {
  RouteId Name;
  std::string Host;
  std::string Prefix; ///< Begins and ends with a slash.
  RetryClass Retry = RetryClass::NotIdempotent;
  Millis Timeout{0};           ///< Longest that a caller is kept waiting.
  Millis LatencyObjective{0};  ///< Time to the answer or its first event.
  int Priority = 0;            ///< Zero goes first.
  int MaxAttempts = 1;         ///< Targets that one request may be sent to.
  bool Public = false;         ///< Needs no key.
  bool PrefixAffinity = false; ///< Requests share prompt prefixes.
  bool Resumable = false;      ///< A stream may go on at another target.
  Millis EventGapObjective{0}; ///< Longest pause between events in time.
  std::vector<WeightedService> Services; ///< Not empty.
};

/// @brief How the model engines of a service work.
struct EngineTraits {
  std::int64_t MaxBatch = 0;          ///< Requests that run at once.
  Tokens KvCapacity;                  ///< KV cache of one engine.
  std::int64_t MaxTokensPerEvent = 1; ///< Most output tokens in one event.
};

/// @brief A group of targets.
struct Service {
  ServiceId Name;
  std::string HealthPath;
  std::int64_t MaxConnections = 0; ///< Of one target, from all VMs.
  std::optional<EngineTraits> Engine;
};

/// @brief A customer with its keys and budget.
struct Workspace {
  WorkspaceId Name;
  std::vector<std::string> Keys;
  std::optional<int> Priority;   ///< Goes before the route's.
  std::optional<Tokens> Prepaid; ///< No limit if absent.
};

/// @brief What callers may send, and how slowly.
struct CallerLimits {
  std::uint32_t MaxHeaderBytes = 16'384;
  std::uint64_t MaxBodyBytes = 4'194'304;
  Millis HeaderTimeout{
      3'000}; ///< From a request's first byte to its whole head.
  Millis IdleTimeout{15'000}; ///< Between two requests of a connection.
};

/// @brief A configuration as it was published.
struct Configuration {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<Service> Services;
  std::vector<Workspace> Workspaces;
  bool KeyRequired = false; ///< Requests need a key unless their route is open.
  CallerLimits Limits;
};

} // namespace goldcrestnotch::routing
