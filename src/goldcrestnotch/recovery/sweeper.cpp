/// @file
/// Decisions on dead holders.

#include "goldcrestnotch/recovery/sweeper.hpp"

#include <algorithm>

namespace goldcrestnotch {

std::vector<Item> Sweeper::retire(const Book &Source,
                                  MembershipView &Fleet) const {
  std::vector<Item> Result;
  for (const auto &Holder : Source.holders()) {
    Fleet.watch(Holder.Vm);
    const bool Gone = Fleet.missing(Holder.Vm) >= Times.GoneAfter;
    if (Gone && Fleet.home("retire/" + Holder.Vm.str()) == Self) {
      Result.emplace_back(Retire{Holder});
    }
  }
  return Result;
}

std::vector<HolderId> Sweeper::due(Instant Now, const Book &Source,
                                   const MembershipView &Fleet) {
  std::vector<HolderId> Result;
  const auto Unsettled = Source.unsettled();
  std::erase_if(Sweeps, [&](const auto &Entry) {
    return !Unsettled.contains(Entry.first);
  });
  for (const auto &Dead : Unsettled) {
    auto &At =
        Sweeps.try_emplace(Dead, Sweep{Now + Times.Limit, Now}).first->second;
    if (Now < At.Next || Fleet.home("sweep/" + Dead.str()) != Self) {
      continue;
    }
    At.Next = Now + Times.Every;
    Result.push_back(Dead);
  }
  return Result;
}

std::vector<Item>
Sweeper::report(Instant Now, const Book &Source, const SweepReport &Seen,
                const std::function<bool(const PoolId &)> &Owned) {
  const auto It = Sweeps.find(Seen.Dead);
  if (It == Sweeps.end()) {
    return {};
  }
  const bool Expired = Now >= It->second.Deadline;
  const bool Running =
      std::any_of(Seen.Streams.begin(), Seen.Streams.end(),
                  [](const SweptStream &One) { return !One.Ended; });
  const bool Known = Seen.Complete && !Running;
  if (!Known && !Expired) {
    return {};
  }
  // A stream that ended after the holder's last batch was never billed; if an
  // engine has forgotten one, what it used cannot be known.
  const bool Settled =
      Known && Seen.Forgotten + Times.Skew < Source.seen(Seen.Dead);
  std::vector<Item> Result;
  for (const auto &One : Seen.Streams) {
    if (Owned(One.Pool) && One.Used > Tokens{0}) {
      Result.emplace_back(
          Bill{One.Pool, One.Request, One.Used, true, Seen.Dead});
    }
  }
  Result.emplace_back(Settle{Seen.Dead, !Settled});
  return Result;
}

} // namespace goldcrestnotch
