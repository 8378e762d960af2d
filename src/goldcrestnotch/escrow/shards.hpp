/// @file
/// The budgets of a VM, divided by workspace into the partitions of the store,
/// so that only VMs that hold tokens of the same workspaces contend for one.

#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/escrow/token_holder.hpp"

namespace goldcrestnotch::escrow {

/// @brief What is known and held of the workspaces of one partition.
struct Shard {
  Shard(HolderName Self, Sizing Size) : Held{std::move(Self), Size} {}

  HolderTable Known;
  TokenHolder Held;
};

/// @brief All partitions; none until their count is known.
///
/// Invariant: the count is the same on all VMs and never changes, so each
/// workspace has one partition.
class Shards {
public:
  explicit Shards(HolderName Self, Sizing Size = {})
      : Self{std::move(Self)}, Size{Size} {}

  [[nodiscard]] const HolderName &name() const noexcept { return Self; }
  [[nodiscard]] const Sizing &sizing() const noexcept { return Size; }
  [[nodiscard]] bool opened() const noexcept { return !Parts.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return Parts.size(); }
  [[nodiscard]] std::size_t indexOf(const WorkspaceId &Name) const {
    return hashOf(Name.str()) % Parts.size();
  }
  [[nodiscard]] Shard &at(std::size_t Index) { return *Parts.at(Index); }
  /// @brief The partition of a workspace; they must be opened.
  [[nodiscard]] Shard &of(const WorkspaceId &Name) { return at(indexOf(Name)); }

  /// @brief The count is known.
  void open(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      Parts.push_back(std::make_unique<Shard>(Self, Size));
    }
  }
  /// @brief Gives back all that is not reserved from now on.
  void startLeaving() noexcept {
    for (const auto &One : Parts) {
      One->Held.startLeaving();
    }
  }

private:
  HolderName Self;
  Sizing Size;
  std::vector<std::unique_ptr<Shard>> Parts;
};

} // namespace goldcrestnotch::escrow
