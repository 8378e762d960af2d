/// @file
/// What one VM writes of budgets to the store: how much of each it has taken,
/// spent and needs. The newest record of each VM is the whole state, so nothing
/// has to be replayed or saved besides.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/core/tokens.hpp"

namespace goldcrestnotch::escrow {

/// @brief One VM's part of one budget, counted from the budget's beginning.
///
/// Invariant: `Spent <= Drawn` plus what the process has borrowed and not used;
/// what it gives back of that lowers `Drawn`, below zero too. The sum of
/// `InDoubt` over all VMs is what counts as spent and may not be: left by
/// processes that died, or lent and not yet used. A borrower takes what it uses
/// off its own, which may be negative.
struct Account {
  Tokens Drawn;   ///< Taken from the budget and not given back.
  Tokens Spent;   ///< Of these, used up or written off.
  Tokens InDoubt; ///< Of these, what may not have been used; see above.
  Tokens Wanted;  ///< Asked for and not free; others may give back.
  Tokens Rate;    ///< Spent in a second, lately.

  auto operator<=>(const Account &) const = default;
};

/// @brief The record of one process of a VM in one partition.
struct HolderRecord {
  std::uint64_t Sequence = 0; ///< Counts the records of this process.
  std::string Control;        ///< Address for other VMs.
  std::map<WorkspaceId, Account> Accounts;

  auto operator<=>(const HolderRecord &) const = default;
};

/// @brief Names a process: the VM's address, then a number drawn at its start.
/// Two processes never have one address at a time, so a new one proves that
/// the one before has ended.
struct HolderName {
  std::string Vm;
  std::string Incarnation;

  auto operator<=>(const HolderName &) const = default;
  [[nodiscard]] std::string str() const { return Vm + "/" + Incarnation; }
  /// @brief Reads a name; nothing if the text is of another form.
  [[nodiscard]] static std::optional<HolderName> parse(std::string_view Text);
};

/// @brief The record as CBOR.
[[nodiscard]] std::string encode(const HolderRecord &Source);
/// @brief Reads a record; nothing if the bytes hold none.
[[nodiscard]] std::optional<HolderRecord> decodeRecord(std::string_view Bytes);

} // namespace goldcrestnotch::escrow
