/// @file
/// The unit of budgets.

#pragma once

#include <compare>
#include <cstdint>

namespace goldcrestnotch {

/// @brief A number of tokens. The slots of targets are counted in this type
/// too.
class Tokens {
public:
  constexpr Tokens() = default;
  constexpr explicit Tokens(std::int64_t Count) : Value{Count} {}

  [[nodiscard]] constexpr std::int64_t count() const noexcept { return Value; }

  constexpr Tokens &operator+=(Tokens Other) noexcept {
    Value += Other.Value;
    return *this;
  }
  constexpr Tokens &operator-=(Tokens Other) noexcept {
    Value -= Other.Value;
    return *this;
  }
  [[nodiscard]] friend constexpr Tokens operator+(Tokens A, Tokens B) noexcept {
    return Tokens{A.Value + B.Value};
  }
  [[nodiscard]] friend constexpr Tokens operator-(Tokens A, Tokens B) noexcept {
    return Tokens{A.Value - B.Value};
  }
  [[nodiscard]] friend constexpr Tokens
  operator/(Tokens A, std::int64_t Divisor) noexcept {
    return Tokens{A.Value / Divisor};
  }
  [[nodiscard]] friend constexpr Tokens
  operator*(Tokens A, std::int64_t Factor) noexcept {
    return Tokens{A.Value * Factor};
  }
  constexpr auto operator<=>(const Tokens &) const = default;

private:
  std::int64_t Value = 0;
};

} // namespace goldcrestnotch
