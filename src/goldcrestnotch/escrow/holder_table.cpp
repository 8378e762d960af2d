/// @file
/// Summing records.

#include "goldcrestnotch/escrow/holder_table.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestnotch::escrow {

const HolderRecord *HolderTable::find(const HolderName &Name) const {
  const auto It = Entries.find(Name);
  return It == Entries.end() || !It->second.Record ? nullptr
                                                   : &*It->second.Record;
}

Totals HolderTable::totals(const WorkspaceId &Name) const {
  const auto It = Sums.find(Name);
  return It == Sums.end() ? Totals{} : It->second;
}

void HolderTable::apply(std::uint64_t Offset, const HolderName &Name,
                        std::optional<HolderRecord> Record) {
  const auto [It, Fresh] = Entries.try_emplace(Name);
  if (!Fresh && Offset <= It->second.Offset) {
    return;
  }
  if (It->second.Record) {
    add(*It->second.Record, -1);
  }
  if (Record) {
    add(*Record, 1);
  }
  It->second = {Offset, std::move(Record)};
  Newest = std::max(Newest, Offset);
}

void HolderTable::add(const HolderRecord &Record, std::int64_t Sign) {
  for (const auto &[Name, One] : Record.Accounts) {
    auto &At = Sums[Name];
    At.Drawn += One.Drawn * Sign;
    At.Spent += One.Spent * Sign;
    At.InDoubt += One.InDoubt * Sign;
    At.Wanted += One.Wanted * Sign;
    At.Rate += One.Rate * Sign;
  }
}

} // namespace goldcrestnotch::escrow
