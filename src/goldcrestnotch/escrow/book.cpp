/// @file
/// Summing records.

#include "goldcrestnotch/escrow/book.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestnotch::escrow {

const HolderRecord *Book::find(const HolderName &Name) const {
  const auto It = Entries.find(Name);
  return It == Entries.end() || !It->second.Record ? nullptr
                                                   : &*It->second.Record;
}

Totals Book::totals(const WorkspaceId &Name) const {
  const auto It = Sums.find(Name);
  return It == Sums.end() ? Totals{} : It->second;
}

MoveEvidence Book::evidence(const std::string &Service,
                            const VersionId &To) const {
  MoveEvidence Sum{To, {}, {}};
  const auto Add = [](VersionCounts &Into, const VersionCounts &From) {
    Into.Requests += From.Requests;
    Into.Failed += From.Failed;
    Into.Slow += From.Slow;
  };
  for (const auto &[Name, Entry] : Entries) {
    if (!Entry.Record) {
      continue;
    }
    const auto It = Entry.Record->Moves.find(Service);
    if (It != Entry.Record->Moves.end() && It->second.To == To) {
      Add(Sum.Old, It->second.Old);
      Add(Sum.New, It->second.New);
    }
  }
  return Sum;
}

void Book::apply(std::uint64_t Offset, const HolderName &Name,
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

void Book::add(const HolderRecord &Record, std::int64_t Sign) {
  for (const auto &[Name, One] : Record.Accounts) {
    auto &At = Sums[Name];
    At.Drawn += One.Drawn * Sign;
    At.Spent += One.Spent * Sign;
    At.Doubt += One.Doubt * Sign;
    At.Wanted += One.Wanted * Sign;
    At.Rate += One.Rate * Sign;
  }
}

} // namespace goldcrestnotch::escrow
