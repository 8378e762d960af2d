/// @file
/// What has to be written again after the store was restored from an older
/// copy, so that no draw that the copy lacks is forgotten.

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "goldcrestnotch/escrow/holder_table.hpp"
#include "goldcrestnotch/store/log.hpp"

namespace goldcrestnotch::escrow {

/// Looks up the value that the store has for a key.
using StoredValue =
    std::function<std::optional<std::string>(const std::string &)>;

/// @brief Whether all holders are known to have written in an era of the store,
/// so that the table lacks no draw of an earlier one.
[[nodiscard]] bool restored(const HolderTable &Table, std::uint64_t Era);

/// @brief The records of other holders that the store lacks or has in an older
/// form, and deletions of dropped holders that it still has.
/// @param Confirm Also returns the records that were not written again in this
/// era, as confirmed in it.
[[nodiscard]] std::vector<store::Record>
recordsToRestore(const HolderTable &Table, const HolderName &Self,
                 std::uint64_t Era, bool Confirm, const StoredValue &Stored);

} // namespace goldcrestnotch::escrow
