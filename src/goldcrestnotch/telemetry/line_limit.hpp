/// @file
/// Limits how many log lines of one kind are written per second.

#pragma once

#include <cstdint>
#include <optional>
#include <utility>

#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch {

/// Lines per second about records that can't be read; a list may hold
/// thousands.
inline constexpr std::uint32_t MaxUnreadableLines = 5;

/// @brief Admits a number of lines per second and counts the others. Does no
/// I/O and reads no clock.
class LineLimit {
public:
  explicit constexpr LineLimit(std::uint32_t MaxPerSecond) noexcept
      : MaxPerSecond{MaxPerSecond} {}

  /// @brief Asks for one line.
  /// @return The number of lines omitted since the last one that was admitted;
  /// nothing if this one is to be omitted.
  [[nodiscard]] std::optional<std::int64_t> admit(Instant Now) noexcept {
    if (Now >= IntervalEnd) {
      IntervalEnd = Now + Interval;
      Admitted = 0;
    }
    if (Admitted >= MaxPerSecond) {
      ++Omitted;
      return std::nullopt;
    }
    ++Admitted;
    return std::exchange(Omitted, 0);
  }

private:
  static constexpr Millis Interval{1'000};

  std::uint32_t MaxPerSecond;
  std::uint32_t Admitted = 0; ///< Since the interval began.
  std::int64_t Omitted = 0;   ///< Since the last line that was admitted.
  Instant IntervalEnd{};
};

} // namespace goldcrestnotch
