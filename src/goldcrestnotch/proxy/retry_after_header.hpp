/// @file
/// Parses the `Retry-After` header of responses.

#pragma once

#include <chrono>
#include <optional>
#include <string_view>

#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch::proxy {

/// Longest delay that is believed; a longer one is taken for this.
inline constexpr Millis MaxRetryAfter{60'000};

/// @brief Reads a delay: seconds, which may have a fraction, or an HTTP date.
/// @param Now The time of day, for dates.
/// @return Nothing if the text is neither. A date that has passed, or a
/// negative number, gives zero.
[[nodiscard]] std::optional<Millis>
parseRetryAfter(std::string_view Text,
                std::chrono::system_clock::time_point Now);

} // namespace goldcrestnotch::proxy
