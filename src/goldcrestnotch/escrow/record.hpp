/// @file
/// The record that one VM publishes to the store about budgets: how many tokens
/// of each it has drawn, spent and needs. The newest records of all VMs are the
/// whole state, so neither a replay of history nor a snapshot is needed.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/core/tokens.hpp"

namespace goldcrestnotch::escrow {

/// @brief One VM's part of one budget, counted from the start of the budget.
///
/// Invariant: `Spent <= Drawn` plus the tokens that the process has borrowed
/// and not used. Giving back borrowed tokens lowers `Drawn`, possibly below
/// zero. The sum of `InDoubt` over all VMs is the amount that counts as spent
/// but may not have been: left by processes that died, or lent and not yet
/// used. A borrower subtracts what it uses from its own `InDoubt`, which may
/// therefore be negative.
struct Account {
  Tokens Drawn;   ///< Taken from the budget and not given back.
  Tokens Spent;   ///< Of the drawn tokens: used, lent or written off.
  Tokens InDoubt; ///< Of the spent tokens: possibly not used; see above.
  Tokens Wanted;  ///< Needed but not free; other VMs may give them back.
  Tokens Rate;    ///< Demand in tokens a second; zero if not prefetching.

  auto operator<=>(const Account &) const = default;
};

/// @brief Whether all amounts are ones that a budget can have. Builds up to
/// 8f9fdbe wrote others after a request had overflowed their sums.
[[nodiscard]] bool isPossible(const Account &Source) noexcept;

/// @brief What an account counts for. If some of its amounts are impossible,
/// all tokens that it has drawn count as spent, in doubt.
/// @return Nothing if the amount that it has drawn is impossible itself.
[[nodiscard]] std::optional<Account> countable(const Account &Source) noexcept;

/// @brief The record of one process of a VM in one partition.
struct HolderRecord {
  std::uint64_t Sequence = 0; ///< Number of this record within the process.
  std::string ControlAddress; ///< Address that other VMs connect to.
  std::map<WorkspaceId, Account> Accounts;
  /// Incarnations of ended processes of the VM whose tokens the accounts
  /// include, the last ones only. Their own records count no more, even if a
  /// restored store or another VM still has them. Earlier builds state none.
  std::vector<std::string> Replaced;
  /// Era of the store in which the holder wrote the record, or in which another
  /// VM that knew the holder's newest record confirmed it. Records of processes
  /// that know no eras have none.
  std::optional<std::uint64_t> Era;

  auto operator<=>(const HolderRecord &) const = default;
};

/// @brief Identifies a process by the address of its VM and a random id drawn
/// at its start. Two processes never use one address at a time, so a new
/// process proves that the one before it has ended.
struct HolderName {
  std::string Vm;
  std::string Incarnation;

  auto operator<=>(const HolderName &) const = default;
  [[nodiscard]] std::string str() const { return Vm + "/" + Incarnation; }
  /// @brief Parses a name of the form that `str` writes.
  /// @return Nothing if the text has another form.
  [[nodiscard]] static std::optional<HolderName> parse(std::string_view Text);
};

/// @brief Encodes a record as CBOR.
[[nodiscard]] std::string encode(const HolderRecord &Source);
/// @brief Decodes a record.
/// @return Nothing if the bytes are not a valid record.
[[nodiscard]] std::optional<HolderRecord> decodeRecord(std::string_view Bytes);

} // namespace goldcrestnotch::escrow
