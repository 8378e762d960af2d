/// @file
/// Decides what follows a try that did not end with a whole answer: another
/// target, or which answer the caller gets. Says 503 only where the request
/// has not run and never will.

#pragma once

#include <cstdint>

#include "goldcrestnotch/routing/configuration.hpp"

namespace goldcrestnotch::proxy {

/// @brief How one try at a target ended.
enum class TryEnd : std::uint8_t {
  Done,        ///< The caller has a whole answer.
  Unreachable, ///< No byte was sent.
  NotRun,      ///< The target states that it ran nothing.
  WrongTarget, ///< Another target answered, and ran nothing.
  Failed,      ///< The target ran it and answers with a failure.
  Lost,        ///< Sent; the answer broke off or never came.
  Expired,     ///< The time was up while it was at the target.
  CallerGone,  ///< The caller left.
};

/// @brief What a request has been through.
struct TryState {
  routing::RetryClass Kind = routing::RetryClass::NotIdempotent;
  bool Resumable = false;
  int MostAttempts = 1;
  int Sent = 0;        ///< Tries of which a byte went out.
  int Unreachable = 0; ///< Tries of which none did.
  bool MayHaveRun = false;
  bool Begun = false;        ///< The caller has part of an answer.
  bool RetryAllowed = false; ///< By the budget of repeats.
};

/// @brief What to do next.
enum class NextStep : std::uint8_t {
  Again,       ///< Try another target.
  Refuse,      ///< 503: it has not run.
  PassFailure, ///< The target's own failure.
  Unknown,     ///< 502: it may have run.
  Timeout,     ///< 504: it may have run and took too long.
  CutOff,      ///< Break off the answer that has begun.
  Stop,        ///< Nothing more to do.
};

/// @brief Whether a request that may have run may be sent again.
[[nodiscard]] constexpr bool repeatable(const TryState &At) noexcept {
  return At.Kind == routing::RetryClass::Idempotent ||
         (At.Kind == routing::RetryClass::Stream && At.Resumable);
}

/// Targets that are tried in vain before the caller is told to come back.
inline constexpr int MostUnreachable = 3;

/// @brief The step after a try.
[[nodiscard]] constexpr NextStep nextStep(const TryState &At,
                                          TryEnd End) noexcept {
  const bool Left = At.Sent < At.MostAttempts &&
                    At.Unreachable < MostUnreachable &&
                    (At.Sent == 0 || At.RetryAllowed);
  const bool May = !At.MayHaveRun || repeatable(At);
  switch (End) {
  case TryEnd::Done:
  case TryEnd::CallerGone:
    return NextStep::Stop;
  case TryEnd::Expired:
    if (At.Begun) {
      return NextStep::CutOff;
    }
    return At.MayHaveRun ? NextStep::Timeout : NextStep::Refuse;
  case TryEnd::Unreachable:
  case TryEnd::NotRun:
  case TryEnd::WrongTarget:
  case TryEnd::Lost:
  case TryEnd::Failed:
    break;
  }
  if (Left && May) {
    return NextStep::Again;
  }
  if (At.Begun) {
    return NextStep::CutOff;
  }
  if (End == TryEnd::Failed) {
    return NextStep::PassFailure;
  }
  return At.MayHaveRun ? NextStep::Unknown : NextStep::Refuse;
}

} // namespace goldcrestnotch::proxy
