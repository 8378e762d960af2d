/// @file
/// The outcome of one request, as evidence about the version that served it.

#pragma once

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch {

/// @brief The outcome of one request on one version.
struct Observation {
  RouteId Route;
  VersionId Version;
  bool Failed = false;
  Millis FirstByte{0}; ///< Time to the first byte; zero if there was none.
  Millis EventGap{0};  ///< Mean time between events; zero if unknown.
};

} // namespace goldcrestnotch
