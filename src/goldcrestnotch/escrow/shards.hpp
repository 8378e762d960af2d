/// @file
/// Divides the budgets of a VM by workspace into the partitions of the store,
/// so that only VMs that hold tokens of the same workspaces contend for a
/// partition.

#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/escrow/token_holder.hpp"

namespace goldcrestnotch::escrow {

/// @brief The state of one partition: the records of all VMs, and the tokens
/// that this VM holds of its workspaces.
struct Shard {
  Shard(HolderName Self, Sizing Size) : Holder{std::move(Self), Size} {}

  HolderTable Table;
  TokenHolder Holder;
};

/// @brief The shards of all partitions; empty until their number is known.
///
/// Invariant: the number is the same on all VMs and never changes, so each
/// workspace belongs to exactly one partition.
class Shards {
public:
  explicit Shards(HolderName Self, Sizing Size = {})
      : Self{std::move(Self)}, Size{Size} {}

  [[nodiscard]] const HolderName &name() const noexcept { return Self; }
  [[nodiscard]] const Sizing &sizing() const noexcept { return Size; }
  [[nodiscard]] bool opened() const noexcept { return !All.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return All.size(); }
  [[nodiscard]] std::size_t indexOf(const WorkspaceId &Workspace) const {
    return hashOf(Workspace.str()) % All.size();
  }
  [[nodiscard]] Shard &at(std::size_t Index) { return *All.at(Index); }
  /// @brief The shard of a workspace. `open` must have been called before.
  [[nodiscard]] Shard &shardOf(const WorkspaceId &Workspace) {
    return at(indexOf(Workspace));
  }

  /// @brief Creates the shards once their number is known.
  void open(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      All.push_back(std::make_unique<Shard>(Self, Size));
    }
  }
  /// @brief Makes all holders give back every token that is not reserved.
  void startLeaving() noexcept {
    for (const auto &Entry : All) {
      Entry->Holder.startLeaving();
    }
  }

private:
  HolderName Self;
  Sizing Size;
  std::vector<std::unique_ptr<Shard>> All; ///< By number of the partition.
};

} // namespace goldcrestnotch::escrow
