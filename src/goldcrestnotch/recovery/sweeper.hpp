/// @file
/// Recovers the grants of a dead holder: bills what the engines report for its
/// streams, then releases the rest.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/ledger/ledger_state.hpp"
#include "goldcrestnotch/membership/membership_view.hpp"

namespace goldcrestnotch {

/// @brief A stream of a dead holder, as an engine reports it.
struct SweptStream {
  RequestId Request;
  PoolId Pool;
  Tokens Used;
  bool Ended = false;
};

/// @brief Combined report of all engines on a dead holder.
struct SweepReport {
  HolderId Holder;
  bool Complete = false; ///< Whether every engine responded.
  /// The latest end of a stream that an engine no longer has a record of, by
  /// the engine's clock.
  LogTime LastForgottenEnd{};
  std::vector<SweptStream> Streams;
};

/// @brief Settings of a sweeper.
struct SweepSettings {
  /// A VM counts as gone after it has been missing from the live list for this
  /// time.
  Millis GoneTimeout;
  /// Tokens whose use is still unknown after this time are written off.
  Millis WriteOffTimeout;
  Millis SweepInterval{500}; ///< Interval between two sweeps for a holder.
  /// Maximum difference between the clocks of an engine and of the log.
  Millis MaxClockSkew{5'000};
};

/// @brief Decides, for one shard of the ledger, which holders to retire
/// and when a retired one is settled.
///
/// One VM, the home of the holder, acts for all. VMs whose views of the fleet
/// differ may both act; the ledger ignores the second record.
class Sweeper {
public:
  Sweeper(VmId Self, SweepSettings Settings)
      : Self{std::move(Self)}, Settings{Settings} {}

  /// @brief Returns the records that retire the holders of VMs that are
  /// gone.
  [[nodiscard]] std::vector<Item>
  retireGoneHolders(const LedgerState &Ledger, MembershipView &Fleet) const;
  /// @brief Returns the dead holders whose streams the engines should be asked
  /// for now.
  [[nodiscard]] std::vector<HolderId> dueHolders(Instant Now,
                                                 const LedgerState &Ledger,
                                                 const MembershipView &Fleet);
  /// @brief Settles a dead holder from the report of the engines.
  /// @param IsOwnPool Returns whether a pool is in this shard.
  /// @return The bills and the settlement of the holder; nothing while streams
  /// still run or engines have not responded, up to the time of the write-off.
  [[nodiscard]] std::vector<Item>
  settle(Instant Now, const LedgerState &Ledger, const SweepReport &Report,
         const std::function<bool(const PoolId &)> &IsOwnPool);

private:
  struct PendingSweep {
    Instant Deadline;  ///< When tokens of unknown use are written off.
    Instant NextSweep; ///< When to ask the engines next.
  };

  VmId Self;
  SweepSettings Settings;
  /// Holds the dead holders that are not settled.
  std::map<HolderId, PendingSweep> Sweeps;
};

} // namespace goldcrestnotch
