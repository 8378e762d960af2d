/// @file
/// The records of all VMs together: how much of each budget is taken.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "goldcrestnotch/escrow/record.hpp"

namespace goldcrestnotch::escrow {

/// @brief Sums over all holders of one budget.
struct Totals {
  Tokens Drawn;
  Tokens Spent;
  Tokens InDoubt;
  Tokens Wanted;
  Tokens Rate;
};

/// @brief All records up to an offset of the store's log. A function of the
/// newest record of each key, in whatever order they are read.
class HolderTable {
public:
  struct Entry {
    std::uint64_t Offset = 0;
    std::optional<HolderRecord> Record; ///< Absent once dropped.
  };

  [[nodiscard]] const std::map<HolderName, Entry> &entries() const noexcept {
    return Entries;
  }
  [[nodiscard]] const HolderRecord *find(const HolderName &Name) const;
  [[nodiscard]] Totals totals(const WorkspaceId &Name) const;
  /// @brief Offset of the newest record taken in, of whichever holder.
  [[nodiscard]] std::uint64_t newest() const noexcept { return Newest; }

  /// @brief Takes a record in; an older one of the same holder is passed over.
  void apply(std::uint64_t Offset, const HolderName &Name,
             std::optional<HolderRecord> Record);

private:
  void add(const HolderRecord &Record, std::int64_t Sign);

  std::map<HolderName, Entry> Entries;
  std::map<WorkspaceId, Totals> Sums;
  std::uint64_t Newest = 0;
};

} // namespace goldcrestnotch::escrow
