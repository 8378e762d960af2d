/// @file
/// Policies that determine how many tokens of a pool a holder should hold.

#pragma once

#include <algorithm>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/core/tokens.hpp"
#include "goldcrestnotch/ledger/ledger_state.hpp"

namespace goldcrestnotch {

/// @brief The input of a sizing policy.
struct SizingInput {
  const Pool &Source;      ///< The pool that the grants come from.
  double Rate = 0;         ///< Average demand in tokens per second.
  std::size_t Holders = 1; ///< Live holders of the stream.
  Tokens Outstanding;      ///< Reserved by requests in progress.
};

/// @brief Holds enough for the holder's own demand during an outage of the log,
/// limited to a share of the pool's free tokens.
struct DemandSizing {
  /// The outage of the log that a holder should be able to bridge.
  Millis Horizon = std::chrono::minutes{75};
  /// The holding beyond tokens in use is at most the pool's free tokens divided
  /// by this.
  std::int64_t ShareDivisor = 32;

  [[nodiscard]] Tokens desiredHolding(const SizingInput &Input) const noexcept {
    const auto Seconds = std::chrono::duration<double>{Horizon}.count();
    const Tokens Demand{static_cast<std::int64_t>(Input.Rate * Seconds)};
    return std::min(Demand + Input.Outstanding,
                    Input.Outstanding + Input.Source.free() / ShareDivisor);
  }
};

/// @brief Divides the remaining tokens equally among the holders, regardless of
/// demand.
struct EqualSizing {
  [[nodiscard]] Tokens desiredHolding(const SizingInput &Input) const noexcept {
    return Input.Source.remaining() /
           static_cast<std::int64_t>(std::max<std::size_t>(Input.Holders, 1));
  }
};

} // namespace goldcrestnotch
