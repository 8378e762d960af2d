/// @file
/// Compares the holder table with what the store has.

#include "goldcrestnotch/escrow/restored_records.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestnotch::escrow {

namespace internal {

[[nodiscard]] static bool isOfEarlierEra(const HolderRecord &Record,
                                         std::uint64_t Era) {
  return Record.Era && *Record.Era < Era;
}

[[nodiscard]] static bool storeHas(const HolderRecord &Known,
                                   const std::optional<std::string> &Stored) {
  const auto Present = Stored ? decodeRecord(*Stored) : std::nullopt;
  return Present && Present->Sequence >= Known.Sequence;
}

} // namespace internal

bool restored(const HolderTable &Table, std::uint64_t Era) {
  return std::none_of(
      Table.entries().begin(), Table.entries().end(), [&](const auto &Entry) {
        return Entry.second.Record &&
               internal::isOfEarlierEra(*Entry.second.Record, Era);
      });
}

std::vector<store::Record> recordsToRestore(const HolderTable &Table,
                                            const HolderName &Self,
                                            std::uint64_t Era, bool Confirm,
                                            const StoredValue &Stored) {
  std::vector<store::Record> Result;
  for (const auto &[Name, Entry] : Table.entries()) {
    if (Name == Self) {
      continue; // The holder writes its own record itself.
    }
    const auto Key = Name.str();
    if (!Entry.Record) {
      if (Stored(Key)) {
        Result.push_back({0, Key, std::nullopt});
      }
      continue;
    }
    auto Record = *Entry.Record;
    const bool Unconfirmed = Confirm && internal::isOfEarlierEra(Record, Era);
    if (Unconfirmed) {
      Record.Era = Era;
    }
    if (Unconfirmed || !internal::storeHas(Record, Stored(Key))) {
      Result.push_back({0, Key, encode(Record)});
    }
  }
  return Result;
}

} // namespace goldcrestnotch::escrow
