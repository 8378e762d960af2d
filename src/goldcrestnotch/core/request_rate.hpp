/// @file
/// The unit of request rate limits.

#pragma once

#include <algorithm>
#include <charconv>
#include <cmath>
#include <compare>
#include <optional>
#include <string_view>
#include <system_error>

namespace goldcrestnotch {

/// @brief A positive number of requests per second.
class RequestRate {
public:
  /// A lower rate than this counts as this one: some requests must go on, since
  /// their responses tell when the limit ends.
  static constexpr double MinPerSecond = 0.1;

  constexpr explicit RequestRate(double PerSecond) : Value{PerSecond} {}

  /// @brief Parses a decimal number of requests per second.
  /// @return Nothing if the text is not a finite number, or below zero.
  [[nodiscard]] static std::optional<RequestRate> parse(std::string_view Text) {
    double Number = 0;
    const auto *End = Text.data() + Text.size();
    const auto [Parsed, Failure] = std::from_chars(Text.data(), End, Number);
    if (Failure != std::errc{} || Parsed != End || !std::isfinite(Number) ||
        Number < 0) {
      return std::nullopt;
    }
    return RequestRate{std::max(Number, MinPerSecond)};
  }

  [[nodiscard]] constexpr double perSecond() const noexcept { return Value; }

  constexpr auto operator<=>(const RequestRate &) const = default;

private:
  double Value;
};

} // namespace goldcrestnotch
