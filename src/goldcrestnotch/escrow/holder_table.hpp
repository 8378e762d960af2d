/// @file
/// The newest records of all holders, and how much of each budget they have
/// drawn together.

#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "goldcrestnotch/escrow/record.hpp"
#include "goldcrestnotch/store/log.hpp"

namespace goldcrestnotch::escrow {

/// @brief Sums of the accounts of all holders for one budget; see `Account`.
struct Totals {
  Tokens Drawn;
  Tokens Spent;
  Tokens InDoubt;
  Tokens Wanted;
  Tokens Rate;
  /// Accounts that the sums leave out: what they have drawn can't be told.
  std::int64_t Unknown = 0;

  /// @brief Tokens that nobody has drawn: none while an account is unknown,
  /// since its holder may have drawn them all.
  [[nodiscard]] Tokens free(Tokens Budget) const noexcept {
    const Tokens Rest = Budget - Drawn;
    return Unknown > 0 ? std::min(Rest, Tokens{}) : Rest;
  }
};

/// @brief The newest record of each holder, by the sequence number that the
/// holder gives it. The state does not depend on the order in which records are
/// applied, and a store that was restored from an older copy does not take it
/// back.
class HolderTable {
public:
  struct Entry {
    store::Position Place;
    std::optional<HolderRecord> Record; ///< Absent once it has been dropped.
  };

  [[nodiscard]] const std::map<HolderName, Entry> &entries() const noexcept {
    return Entries;
  }
  /// @brief The newest record of a holder; null if it has none.
  [[nodiscard]] const HolderRecord *find(const HolderName &Name) const;
  [[nodiscard]] Totals totals(const WorkspaceId &Workspace) const;
  /// @brief Latest position of a record applied, of any holder.
  [[nodiscard]] store::Position newest() const noexcept { return Newest; }

  /// @brief Applies a record, and drops those that it replaces. A record that
  /// is not newer than the known one of the same holder is ignored, and so is
  /// any record of a holder that was dropped: only processes that have ended
  /// are.
  /// @param Record Nothing if the holder's record was dropped.
  void apply(store::Position Place, const HolderName &Name,
             std::optional<HolderRecord> Record);

private:
  /// @brief Adds a record to the sums, or subtracts it.
  /// @param Sign 1 to add, -1 to subtract.
  void add(const HolderRecord &Record, std::int64_t Sign);

  std::map<HolderName, Entry> Entries;
  std::map<WorkspaceId, Totals> Sums;
  store::Position Newest;
};

} // namespace goldcrestnotch::escrow
