/// @file
/// Until when a VM that was told to stop accepts requests and works on them.

#pragma once

#include <algorithm>

#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch::proxy {

/// @brief The deadlines of a planned stop. They count from the arrival of the
/// signal, like the time after which the platform kills the process, and not
/// from its handling by an event loop that may be late. Does no I/O and reads
/// no clock.
class ShutdownSchedule {
public:
  /// Every request is accepted for this fraction (1/N) of the time that the
  /// platform grants: callers use an old list of VMs for a while.
  static constexpr int AcceptTimeDivisor = 3;
  /// Shortest time between the end of the attempts and the kill.
  static constexpr Millis MinEndMargin{500};
  /// Longest such time, as a fraction (1/N) of the time that is granted.
  static constexpr int EndMarginDivisor = 6;
  /// Time for the last answers, before the tokens are handed back.
  static constexpr Millis LastAnswersTime{250};

  /// @param Granted Time between the signal and the kill.
  ShutdownSchedule(Instant SignalTime, Millis Granted) noexcept
      : SignalTime{SignalTime}, AcceptDeadline{SignalTime +
                                               Granted / AcceptTimeDivisor},
        KillTime{SignalTime + Granted},
        MaxEndMargin{std::max(Granted / EndMarginDivisor, MinEndMargin)} {}

  [[nodiscard]] Instant signalTime() const noexcept { return SignalTime; }
  /// @brief Whether new requests are accepted whatever their duration. New
  /// connections are accepted as long.
  [[nodiscard]] bool open(Instant Now) const noexcept {
    return Now < AcceptDeadline;
  }
  /// @brief Whether a request is accepted.
  /// @param LatestEnd Deadline of the request.
  /// @param LoopDelay Current delay of the event loop.
  [[nodiscard]] bool accepts(Instant Now, Instant LatestEnd,
                             Millis LoopDelay) const noexcept {
    return open(Now) || LatestEnd <= attemptDeadline(LoopDelay);
  }
  /// @brief When attempts are given up whose responses have not begun, so that
  /// their callers are told. A loop that is late needs more time for it.
  [[nodiscard]] Instant attemptDeadline(Millis LoopDelay) const noexcept {
    return KillTime -
           std::clamp(MinEndMargin + LoopDelay, MinEndMargin, MaxEndMargin);
  }
  /// @brief Until when callers may get their answers. The rest of the time is
  /// for handing the tokens back.
  [[nodiscard]] Instant answerDeadline() const noexcept {
    return KillTime - MinEndMargin + LastAnswersTime;
  }

private:
  Instant SignalTime;
  Instant AcceptDeadline;
  Instant KillTime; ///< When the platform kills the process.
  Millis MaxEndMargin;
};

} // namespace goldcrestnotch::proxy
