/// @file
/// Decides how to proceed after an attempt that did not yield a complete
/// response: retry at another target, or end the request with a given response.
/// A caller that must not repeat a request gets a status that promises that it
/// was not executed only if that is true, whoever chose the status.

#pragma once

#include <cstdint>
#include <string_view>

#include "goldcrestnotch/core/verdict.hpp"
#include "goldcrestnotch/routing/configuration.hpp"

namespace goldcrestnotch::proxy {

/// @brief How one attempt at a target ended.
enum class AttemptResult : std::uint8_t {
  Completed,        ///< The caller has the complete response.
  Unreachable,      ///< No connection; no byte of the request was sent.
  TargetLeft,       ///< It left before the request was sent.
  Quarantined,      ///< It was in quarantine before it was sent.
  NotExecuted,      ///< The target states that it did not execute the request.
  WrongTarget,      ///< Another target answered and did not execute it.
  Failed,           ///< The target executed it and reports a server error.
  TargetSilent,     ///< It may go on; another target can be asked meanwhile.
  ResponseLost,     ///< Sent, but the response is missing, cut or invalid.
  DeadlineExceeded, ///< The deadline passed before a complete response.
  ViewOutdated,     ///< Not sent: the VM may not know that the target has left.
  CallerGone,       ///< The caller closed its connection.
};

/// @brief The text of a result in log lines.
[[nodiscard]] constexpr std::string_view
toString(AttemptResult Result) noexcept {
  switch (Result) {
  case AttemptResult::Completed:
    return "completed";
  case AttemptResult::Unreachable:
    return "unreachable";
  case AttemptResult::TargetLeft:
    return "target_left";
  case AttemptResult::Quarantined:
    return "quarantined";
  case AttemptResult::NotExecuted:
    return "not_executed";
  case AttemptResult::WrongTarget:
    return "wrong_target";
  case AttemptResult::Failed:
    return "failed";
  case AttemptResult::TargetSilent:
    return "target_silent";
  case AttemptResult::ResponseLost:
    return "response_lost";
  case AttemptResult::DeadlineExceeded:
    return "deadline_exceeded";
  case AttemptResult::ViewOutdated:
    return "view_outdated";
  case AttemptResult::CallerGone:
    return "caller_gone";
  }
  return "unknown";
}

/// @brief The attempts of one request so far.
struct AttemptState {
  routing::RetryClass RetryClass = routing::RetryClass::NotIdempotent;
  bool Resumable = false;
  int MaxAttempts = 1;
  int Sent = 0;               ///< Attempts that sent at least one byte.
  int Unreachable = 0;        ///< Attempts that sent none.
  bool MayHaveRun = false;    ///< A target may have executed the request.
  bool ResponseBegun = false; ///< The caller has part of a response.
  bool RetryAllowed = false;  ///< The retry budget permits another attempt.
};

/// @brief How to proceed after an attempt.
enum class NextStep : std::uint8_t {
  Retry,          ///< Send the request to another target.
  Reject,         ///< Respond 503: the request was not executed.
  ForwardFailure, ///< Forward the error response of the target.
  ReportUnknown,  ///< Respond 502: the request may have been executed.
  ReportTimeout,  ///< Respond 504: it may have been executed, but too slowly.
  AbortResponse,  ///< Close the connection on a response that has begun.
  Stop,           ///< Do nothing: the caller has its response or is gone.
};

/// @brief Whether a request that may have been executed may be sent again.
[[nodiscard]] constexpr bool retryable(const AttemptState &State) noexcept {
  return State.RetryClass == routing::RetryClass::Idempotent ||
         (State.RetryClass == routing::RetryClass::Stream && State.Resumable);
}

/// @brief Whether a response with a status would tell the caller, falsely, that
/// a request which must run at most once can be sent again.
[[nodiscard]] constexpr bool misleads(const AttemptState &State,
                                      int Status) noexcept {
  return State.MayHaveRun && !retryable(State) && promisesNotRun(Status);
}

/// Number of unreachable targets after which the request is rejected.
inline constexpr int MaxUnreachable = 3;

/// @brief Decides how to proceed after an attempt.
[[nodiscard]] constexpr NextStep nextStep(const AttemptState &State,
                                          AttemptResult Result) noexcept {
  const bool AttemptsLeft = State.Sent < State.MaxAttempts &&
                            State.Unreachable < MaxUnreachable &&
                            (State.Sent == 0 || State.RetryAllowed);
  const bool SafeToSend = !State.MayHaveRun || retryable(State);
  switch (Result) {
  case AttemptResult::Completed:
  case AttemptResult::CallerGone:
    return NextStep::Stop;
  case AttemptResult::DeadlineExceeded:
    if (State.ResponseBegun) {
      return NextStep::AbortResponse;
    }
    return State.MayHaveRun ? NextStep::ReportTimeout : NextStep::Reject;
  case AttemptResult::Quarantined:
  case AttemptResult::ViewOutdated:
    if (State.ResponseBegun) {
      return NextStep::AbortResponse;
    }
    return State.MayHaveRun ? NextStep::ReportUnknown : NextStep::Reject;
  case AttemptResult::Unreachable:
  case AttemptResult::TargetLeft:
  case AttemptResult::NotExecuted:
  case AttemptResult::WrongTarget:
  case AttemptResult::TargetSilent:
  case AttemptResult::ResponseLost:
  case AttemptResult::Failed:
    break;
  }
  if (AttemptsLeft && SafeToSend) {
    return NextStep::Retry;
  }
  if (State.ResponseBegun) {
    return NextStep::AbortResponse;
  }
  if (Result == AttemptResult::Failed) {
    return NextStep::ForwardFailure;
  }
  return State.MayHaveRun ? NextStep::ReportUnknown : NextStep::Reject;
}

} // namespace goldcrestnotch::proxy
