/// @file
/// Implements the decisions on dead holders.

#include "goldcrestnotch/recovery/sweeper.hpp"

#include <algorithm>

namespace goldcrestnotch {

std::vector<Item> Sweeper::retireGoneHolders(const LedgerState &Ledger,
                                             MembershipView &Fleet) const {
  std::vector<Item> Result;
  for (const auto &Holder : Ledger.holders()) {
    Fleet.watch(Holder.Vm);
    const bool Gone = Fleet.missingFor(Holder.Vm) >= Settings.GoneTimeout;
    if (Gone && Fleet.home("retire/" + Holder.Vm.str()) == Self) {
      Result.emplace_back(Retire{Holder});
    }
  }
  return Result;
}

std::vector<HolderId> Sweeper::dueHolders(Instant Now,
                                          const LedgerState &Ledger,
                                          const MembershipView &Fleet) {
  std::vector<HolderId> Result;
  const auto Unsettled = Ledger.unsettled();
  std::erase_if(Sweeps, [&](const auto &Entry) {
    return !Unsettled.contains(Entry.first);
  });
  for (const auto &Dead : Unsettled) {
    auto &Pending =
        Sweeps
            .try_emplace(Dead,
                         PendingSweep{Now + Settings.WriteOffTimeout, Now})
            .first->second;
    if (Now < Pending.NextSweep || Fleet.home("sweep/" + Dead.str()) != Self) {
      continue;
    }
    Pending.NextSweep = Now + Settings.SweepInterval;
    Result.push_back(Dead);
  }
  return Result;
}

std::vector<Item>
Sweeper::settle(Instant Now, const LedgerState &Ledger,
                const SweepReport &Report,
                const std::function<bool(const PoolId &)> &IsOwnPool) {
  const auto It = Sweeps.find(Report.Holder);
  if (It == Sweeps.end()) {
    return {};
  }
  const bool TimedOut = Now >= It->second.Deadline;
  const bool Running =
      std::any_of(Report.Streams.begin(), Report.Streams.end(),
                  [](const SweptStream &Stream) { return !Stream.Ended; });
  const bool AllEnded = Report.Complete && !Running;
  if (!AllEnded && !TimedOut) {
    return {};
  }
  // A stream that ended after the holder's last batch may not have been billed.
  // If an engine no longer has a record of such a stream, its use is unknown.
  const bool FullyBilled =
      AllEnded && Report.LastForgottenEnd + Settings.MaxClockSkew <
                      Ledger.lastBatchTime(Report.Holder);
  std::vector<Item> Result;
  for (const auto &Stream : Report.Streams) {
    if (IsOwnPool(Stream.Pool) && Stream.Used > Tokens{0}) {
      Result.emplace_back(
          Bill{Stream.Pool, Stream.Request, Stream.Used, true, Report.Holder});
    }
  }
  Result.emplace_back(Settle{Report.Holder, !FullyBilled});
  return Result;
}

} // namespace goldcrestnotch
