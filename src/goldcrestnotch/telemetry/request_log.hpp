/// @file
/// Rate-limited log lines about single requests.

#pragma once

#include <initializer_list>

#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch {

/// @brief Logs the end of a request.
/// @details Each thread writes a limited number of lines per second and omits
/// the rest. The next line that is written contains the number of omitted
/// lines.
/// @param Success Whether the request succeeded. Lines about successful
/// requests have a lower limit than lines about failed ones.
/// @param Fields Fields of the line.
void logRequest(bool Success, std::initializer_list<LogField> Fields);

} // namespace goldcrestnotch
