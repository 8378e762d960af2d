/// @file
/// The exception that carries a refusal or failure to its caller.

#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/core/verdict.hpp"

namespace goldcrestnotch {

/// @brief A failed or refused request: what happened, whether it may have run,
/// and when to come back.
class Error : public std::runtime_error {
public:
  /// @param HttpStatus Status of the answer.
  /// @param ShortCode Code for programs, such as `budget_exhausted`.
  /// @param Message Text for people.
  Error(int HttpStatus, std::string ShortCode, const std::string &Message)
      : std::runtime_error{Message}, Status{HttpStatus}, Code{std::move(
                                                             ShortCode)} {}

  [[nodiscard]] int status() const noexcept { return Status; }
  [[nodiscard]] const std::string &code() const noexcept { return Code; }
  [[nodiscard]] Verdict verdict() const noexcept { return Ran; }
  [[nodiscard]] std::optional<Millis> retryAfter() const noexcept {
    return Retry;
  }

  /// @brief Sets the verdict; `not-run` unless set.
  Error &&withVerdict(Verdict V) && {
    Ran = V;
    return std::move(*this);
  }
  /// @brief Sets when the caller should come back.
  Error &&withRetryAfter(Millis Wait) && {
    Retry = Wait;
    return std::move(*this);
  }

private:
  int Status;
  std::string Code;
  Verdict Ran = Verdict::NotRun;
  std::optional<Millis> Retry;
};

} // namespace goldcrestnotch
