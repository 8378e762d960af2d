/// @file
/// Brings a dead holder's grants back: bills what the engines know of its
/// streams, then frees the rest.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/ledger/book.hpp"
#include "goldcrestnotch/membership/membership_view.hpp"

namespace goldcrestnotch {

/// @brief A dead holder's stream as an engine knows it.
struct SweptStream {
  RequestId Request;
  PoolId Pool;
  Tokens Used;
  bool Ended = false;
};

/// @brief What all engines together said of a dead holder.
struct SweepReport {
  HolderId Dead;
  bool Complete = false; ///< Every engine answered.
  /// When the last of its streams that an engine no longer knows ended; by the
  /// engine's clock.
  LogTime Forgotten{};
  std::vector<SweptStream> Streams;
};

/// @brief Times of a sweeper.
struct SweepTimes {
  Millis GoneAfter;   ///< Off the live list this long, a VM is gone.
  Millis Limit;       ///< After this, what is in doubt is written off.
  Millis Every{500};  ///< Between sweeps for one holder.
  Millis Skew{5'000}; ///< Between the clocks of engines and of the log.
};

/// @brief Decides, for one shard, which holders are dead and settled.
///
/// Views may differ, so two VMs may both act; the fold drops the second.
class Sweeper {
public:
  Sweeper(VmId Self, SweepTimes Times) : Self{std::move(Self)}, Times{Times} {}

  /// @brief Holders to retire, as records.
  [[nodiscard]] std::vector<Item> retire(const Book &Source,
                                         MembershipView &Fleet) const;
  /// @brief Dead holders whose streams the engines should be asked for now.
  [[nodiscard]] std::vector<HolderId> due(Instant Now, const Book &Source,
                                          const MembershipView &Fleet);
  /// @brief Takes the engines' answers in.
  /// @param Owned Says whether a pool is in this shard.
  /// @return Bills, and the settlement if the holder is done with.
  [[nodiscard]] std::vector<Item>
  report(Instant Now, const Book &Source, const SweepReport &Seen,
         const std::function<bool(const PoolId &)> &Owned);

private:
  struct Sweep {
    Instant Deadline; ///< When what is in doubt is written off.
    Instant Next;     ///< When to ask again.
  };

  VmId Self;
  SweepTimes Times;
  std::map<HolderId, Sweep> Sweeps;
};

} // namespace goldcrestnotch
