/// @file
/// The records of the `rollout` stream.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "goldcrestnotch/catalog/change.hpp"
#include "goldcrestnotch/ledger/holder_id.hpp"

namespace goldcrestnotch {

/// @brief A confirmed move begins.
struct MoveBegin {
  Move What;
};

/// @brief Requests on one version, counted since a daemon started.
struct VersionCounts {
  std::uint64_t Requests = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Slow = 0; ///< Answered, but slower than they should be.

  auto operator<=>(const VersionCounts &) const = default;
};

/// @brief What a VM has seen of a move; counts only ever grow.
struct Evidence {
  MoveId Name;
  HolderId Observer;
  VersionCounts Old;
  VersionCounts New;
};

/// @brief Lets log time pass where no evidence does.
struct MoveTick {};

using RolloutRecord = std::variant<MoveBegin, Evidence, MoveTick>;

[[nodiscard]] std::string encode(const RolloutRecord &Source);
/// @throws std::invalid_argument if the text is no record.
[[nodiscard]] RolloutRecord decodeRollout(std::string_view Text);

} // namespace goldcrestnotch
