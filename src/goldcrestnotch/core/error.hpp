/// @file
/// The exception that reports a rejected or failed request to its caller.

#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/core/verdict.hpp"

namespace goldcrestnotch {

/// @brief A rejected or failed request: the cause, whether the request may have
/// run, and when to retry it.
class Error : public std::runtime_error {
public:
  /// @param HttpStatus HTTP status of the response.
  /// @param ErrorCode Machine-readable code, such as `budget_exhausted`.
  /// @param Message Human-readable description.
  Error(int HttpStatus, std::string ErrorCode, const std::string &Message)
      : std::runtime_error{Message}, Status{HttpStatus}, Code{std::move(
                                                             ErrorCode)} {}

  [[nodiscard]] int status() const noexcept { return Status; }
  [[nodiscard]] const std::string &code() const noexcept { return Code; }
  [[nodiscard]] Verdict verdict() const noexcept { return RequestVerdict; }
  [[nodiscard]] std::optional<Millis> retryAfter() const noexcept {
    return RetryDelay;
  }

  /// @brief Sets the verdict. The default is `NotRun`.
  Error &&withVerdict(Verdict NewVerdict) && {
    RequestVerdict = NewVerdict;
    return std::move(*this);
  }
  /// @brief Sets the delay after which the caller should retry.
  Error &&withRetryAfter(Millis Delay) && {
    RetryDelay = Delay;
    return std::move(*this);
  }

private:
  int Status;
  std::string Code;
  Verdict RequestVerdict = Verdict::NotRun;
  std::optional<Millis> RetryDelay;
};

} // namespace goldcrestnotch
