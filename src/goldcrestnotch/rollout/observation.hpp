/// @file
/// What a request tells of the version that served it.

#pragma once

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch {

/// @brief One request as evidence on a version.
struct Observation {
  RouteId On;
  VersionId Version;
  bool Failed = false;
  Millis FirstByte{0}; ///< Zero if there was none.
  Millis Between{0};   ///< Mean between events; zero if there was none.
};

} // namespace goldcrestnotch
