/// @file
/// Reads the text of HTTP header fields.

#pragma once

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>
#include <system_error>

#include <boost/beast/core/string.hpp>

#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch::proxy {

/// @brief Parses a decimal number.
/// @return Nothing if the text does not begin with one; otherwise a time of at
/// most `MaxStatedTime`, or as far below zero.
[[nodiscard]] inline std::optional<Millis> parseMillis(std::string_view Text) {
  std::int64_t Count = 0;
  const auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  if (Failure == std::errc::result_out_of_range) {
    return Text.front() == '-' ? -MaxStatedTime : MaxStatedTime;
  }
  if (Failure != std::errc{} || End == Text.data()) {
    return std::nullopt;
  }
  return std::clamp(Millis{Count}, -MaxStatedTime, MaxStatedTime);
}

[[nodiscard]] inline std::string_view view(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

} // namespace goldcrestnotch::proxy
