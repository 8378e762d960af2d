/// @file
/// When the process received the signal that ends it. An overloaded event loop
/// handles the signal late, and the platform counts from its arrival.

#pragma once

#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch {

/// @brief Records from now on when SIGTERM or SIGINT first arrives, before the
/// handler runs that is installed now. Must be called after that one has been
/// installed.
void recordStopSignal() noexcept;

/// @brief When the first SIGTERM or SIGINT arrived.
/// @return The current time if none has been recorded.
[[nodiscard]] Instant stopSignalTime() noexcept;

} // namespace goldcrestnotch
