/// @file
/// Applies holder records and keeps their sums up to date.

#include "goldcrestnotch/escrow/holder_table.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestnotch::escrow {

namespace internal {

[[nodiscard]] static bool isNewer(const HolderTable::Entry &Known,
                                  store::Position Place,
                                  const std::optional<HolderRecord> &Record) {
  if (!Known.Record || !Record) {
    return Known.Record.has_value();
  }
  return Record->Sequence > Known.Record->Sequence ||
         (Record->Sequence == Known.Record->Sequence && Place > Known.Place);
}

} // namespace internal

const HolderRecord *HolderTable::find(const HolderName &Name) const {
  const auto It = Entries.find(Name);
  return It == Entries.end() || !It->second.Record ? nullptr
                                                   : &*It->second.Record;
}

Totals HolderTable::totals(const WorkspaceId &Workspace) const {
  const auto It = Sums.find(Workspace);
  return It == Sums.end() ? Totals{} : It->second;
}

void HolderTable::apply(store::Position Place, const HolderName &Name,
                        std::optional<HolderRecord> Record) {
  const auto [It, Inserted] = Entries.try_emplace(Name);
  if (!Inserted && !internal::isNewer(It->second, Place, Record)) {
    return;
  }
  if (It->second.Record) {
    add(*It->second.Record, -1);
  }
  if (Record) {
    add(*Record, 1);
  }
  It->second = {Place, std::move(Record)};
  Newest = std::max(Newest, Place);
  if (It->second.Record) {
    for (const auto &Incarnation : It->second.Record->Replaced) {
      if (Incarnation != Name.Incarnation) {
        apply(Place, {Name.Vm, Incarnation}, std::nullopt);
      }
    }
  }
}

void HolderTable::add(const HolderRecord &Record, std::int64_t Sign) {
  for (const auto &[Workspace, Entry] : Record.Accounts) {
    auto &Sum = Sums[Workspace];
    const auto Counted = countable(Entry);
    if (!Counted) {
      Sum.Unknown += Sign;
      continue;
    }
    Sum.Drawn += Counted->Drawn * Sign;
    Sum.Spent += Counted->Spent * Sign;
    Sum.InDoubt += Counted->InDoubt * Sign;
    Sum.Wanted += Counted->Wanted * Sign;
    Sum.Rate += Counted->Rate * Sign;
  }
}

} // namespace goldcrestnotch::escrow
