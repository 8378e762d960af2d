/// @file
/// How long all VMs leave a target alone that must not reject often.

#pragma once

#include <algorithm>

#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch::backend {

/// @brief The pause after a rejection by a target that survives a limited
/// number of rejections a second.
///
/// Some VMs send to it before they learn of a rejection, so each pause counts
/// for `RejectionsPerPause`.
[[nodiscard]] inline Millis
rejectionPause(double RejectionsPerSecond) noexcept {
  constexpr double RejectionsPerPause = 3;
  constexpr double MinPauseMs = 100;
  constexpr double MaxPauseMs = 1'500;
  constexpr double MillisPerSecond = 1'000;
  const double Pause =
      RejectionsPerSecond > 0
          ? MillisPerSecond * RejectionsPerPause / RejectionsPerSecond
          : MaxPauseMs;
  return Millis{
      static_cast<std::int64_t>(std::clamp(Pause, MinPauseMs, MaxPauseMs))};
}

} // namespace goldcrestnotch::backend
