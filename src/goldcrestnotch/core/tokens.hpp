/// @file
/// The unit of budgets.
///
/// Amounts come from callers, other VMs and records. `MaxTokens` bounds each of
/// them where it is read; sums that exceed 64 bits all the same end at the
/// largest or smallest amount instead of changing their sign.

#pragma once

#include <algorithm>
#include <charconv>
#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>
#include <system_error>

namespace goldcrestnotch {

/// @brief A number of tokens. The slots of targets are counted in this type
/// too.
class Tokens {
public:
  constexpr Tokens() = default;
  constexpr explicit Tokens(std::int64_t Count) : Value{Count} {}

  [[nodiscard]] constexpr std::int64_t count() const noexcept { return Value; }

  constexpr Tokens &operator+=(Tokens Other) noexcept {
    return *this = *this + Other;
  }
  constexpr Tokens &operator-=(Tokens Other) noexcept {
    return *this = *this - Other;
  }
  [[nodiscard]] friend constexpr Tokens operator+(Tokens A, Tokens B) noexcept {
    std::int64_t Sum = 0;
    return __builtin_add_overflow(A.Value, B.Value, &Sum) ? limit(B.Value < 0)
                                                          : Tokens{Sum};
  }
  [[nodiscard]] friend constexpr Tokens operator-(Tokens A, Tokens B) noexcept {
    std::int64_t Difference = 0;
    return __builtin_sub_overflow(A.Value, B.Value, &Difference)
               ? limit(B.Value > 0)
               : Tokens{Difference};
  }
  [[nodiscard]] friend constexpr Tokens
  operator/(Tokens A, std::int64_t Divisor) noexcept {
    return Tokens{A.Value / Divisor};
  }
  [[nodiscard]] friend constexpr Tokens
  operator*(Tokens A, std::int64_t Factor) noexcept {
    std::int64_t Product = 0;
    return __builtin_mul_overflow(A.Value, Factor, &Product)
               ? limit((A.Value < 0) != (Factor < 0))
               : Tokens{Product};
  }
  constexpr auto operator<=>(const Tokens &) const = default;

private:
  using Limits = std::numeric_limits<std::int64_t>;

  [[nodiscard]] static constexpr Tokens limit(bool Negative) noexcept {
    return Tokens{Negative ? Limits::min() : Limits::max()};
  }

  std::int64_t Value = 0;
};

/// Largest amount that a budget can have, and that a record can state. Sums of
/// thousands of such amounts are exact.
inline constexpr Tokens MaxTokens{1'000'000'000'000'000};
/// What a request that states a larger amount is taken to need. No budget
/// covers it.
inline constexpr Tokens TooManyTokens = MaxTokens + Tokens{1};

/// @brief Parses an amount that a request or another VM states.
/// @return `TooManyTokens` for amounts above `MaxTokens`, however many digits
/// they have; nothing unless the text is a decimal number without a sign.
[[nodiscard]] inline std::optional<Tokens> parseTokens(std::string_view Text) {
  std::int64_t Count = 0;
  const auto *End = Text.data() + Text.size();
  const auto [Parsed, Failure] = std::from_chars(Text.data(), End, Count);
  if (Failure == std::errc::invalid_argument || Parsed != End ||
      Text.front() == '-') {
    return std::nullopt;
  }
  return Failure == std::errc{} ? std::min(Tokens{Count}, TooManyTokens)
                                : TooManyTokens;
}

/// @brief Converts an estimate to an amount from zero to `MaxTokens`.
[[nodiscard]] inline Tokens toTokens(double Count) noexcept {
  return Tokens{static_cast<std::int64_t>(
      std::clamp(Count, 0.0, static_cast<double>(MaxTokens.count())))};
}

} // namespace goldcrestnotch
