/// @file
/// What is known about whether a request has run.

#pragma once

#include <cstdint>
#include <string_view>

namespace goldcrestnotch {

/// @brief Whether a request may have run on a target.
enum class Verdict : std::uint8_t {
  NotRun,     ///< No byte of the request can have reached a target.
  MayHaveRun, ///< The request was sent, and its outcome is unknown.
  Ran,        ///< A target responded to the request.
};

/// @brief The text of a verdict in headers, records and logs.
[[nodiscard]] constexpr std::string_view toString(Verdict Value) noexcept {
  switch (Value) {
  case Verdict::NotRun:
    return "not-run";
  case Verdict::MayHaveRun:
    return "may-have-run";
  case Verdict::Ran:
    return "ran";
  }
  return "may-have-run";
}

/// @brief Parses the text of a verdict. Unknown text is read as `MayHaveRun`,
/// the safe assumption.
[[nodiscard]] constexpr Verdict verdictOf(std::string_view Text) noexcept {
  if (Text == "not-run") {
    return Verdict::NotRun;
  }
  return Text == "ran" ? Verdict::Ran : Verdict::MayHaveRun;
}

/// @brief Whether an HTTP status promises that the request has not run and
/// never will, so that callers repeat requests that must run at most once.
[[nodiscard]] constexpr bool promisesNotRun(int Status) noexcept {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace goldcrestnotch
