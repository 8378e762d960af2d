/// @file
/// What is known of whether a request ran.

#pragma once

#include <cstdint>
#include <string_view>

namespace goldcrestnotch {

/// @brief Whether a request may have run on a target.
enum class Verdict : std::uint8_t {
  NotRun,     ///< No byte of it can have reached a target.
  MayHaveRun, ///< It was sent, and its end is not known.
  Ran,        ///< A target answered it.
};

/// @brief The verdict as it stands in headers, records and logs.
[[nodiscard]] constexpr std::string_view toString(Verdict V) noexcept {
  switch (V) {
  case Verdict::NotRun:
    return "not-run";
  case Verdict::MayHaveRun:
    return "may-have-run";
  case Verdict::Ran:
    return "ran";
  }
  return "may-have-run";
}

/// @brief Reads a verdict; unknown text is the cautious one.
[[nodiscard]] constexpr Verdict verdictOf(std::string_view Text) noexcept {
  if (Text == "not-run") {
    return Verdict::NotRun;
  }
  return Text == "ran" ? Verdict::Ran : Verdict::MayHaveRun;
}

} // namespace goldcrestnotch
