/// @file
/// Reads the text of HTTP header fields.

#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>
#include <system_error>

#include <boost/beast/core/string.hpp>

#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch::proxy {

/// @brief Parses a decimal number.
/// @return Nothing if the text does not begin with one.
[[nodiscard]] inline std::optional<Millis> parseMillis(std::string_view Text) {
  std::int64_t Count = 0;
  const auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  if (Failure != std::errc{} || End == Text.data()) {
    return std::nullopt;
  }
  return Millis{Count};
}

[[nodiscard]] inline std::string_view view(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

} // namespace goldcrestnotch::proxy
