/// @file
/// Log lines of single requests, bounded in number.

#pragma once

#include <initializer_list>

#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch {

/// @brief Writes a line about the end of a request. Beyond a number a second,
/// lines are left out; the next line written says how many were.
/// @param Good Whether all went well; such lines are left out first.
void logRequest(bool Good, std::initializer_list<LogField> Fields);

} // namespace goldcrestnotch
