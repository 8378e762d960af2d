/// @file
/// Policies that say how much of a pool a holder should have at hand.

#pragma once

#include <algorithm>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/core/tokens.hpp"
#include "goldcrestnotch/ledger/ledger_state.hpp"

namespace goldcrestnotch {

/// @brief What a policy may look at.
struct SizingInput {
  const Pool &Source;
  double Rate = 0;         ///< Tokens a second, averaged.
  std::size_t Holders = 1; ///< Live holders of the stream.
  Tokens Outstanding;      ///< Reserved by requests in progress.
};

/// @brief Enough for the holder's own demand over an outage, less as the pool
/// empties.
struct DemandSizing {
  /// How long an outage of the log a holder should serve through.
  Millis Horizon = std::chrono::minutes{75};
  /// At most one part in this many of the pool's free tokens.
  std::int64_t ShareDivisor = 32;

  [[nodiscard]] Tokens desiredHolding(const SizingInput &Input) const noexcept {
    const auto Seconds = std::chrono::duration<double>{Horizon}.count();
    const Tokens Demand{static_cast<std::int64_t>(Input.Rate * Seconds)};
    return std::min(Demand + Input.Outstanding,
                    Input.Outstanding + Input.Source.free() / ShareDivisor);
  }
};

/// @brief Equal parts of what remains, whatever the demand.
struct EqualSizing {
  [[nodiscard]] Tokens desiredHolding(const SizingInput &Input) const noexcept {
    return Input.Source.remaining() /
           static_cast<std::int64_t>(std::max<std::size_t>(Input.Holders, 1));
  }
};

} // namespace goldcrestnotch
