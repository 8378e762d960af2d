/// @file
/// Records of the `rollout` stream.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "goldcrestnotch/catalog/change.hpp"
#include "goldcrestnotch/ledger/holder_id.hpp"

namespace goldcrestnotch {

/// @brief Starts a confirmed move.
struct MoveBegin {
  Move Order;
};

/// @brief Request counts of one version since the daemon started.
struct VersionCounts {
  std::uint64_t Requests = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Slow = 0; ///< Answered, but too slowly.

  auto operator<=>(const VersionCounts &) const = default;
};

/// @brief What one VM has observed of a move. The counts are cumulative.
struct Evidence {
  MoveId Name;
  HolderId Observer;
  VersionCounts Old;
  VersionCounts New;
};

/// @brief Advances the log's time while no VM reports evidence.
struct MoveTick {};

using RolloutRecord = std::variant<MoveBegin, Evidence, MoveTick>;

[[nodiscard]] std::string encode(const RolloutRecord &Source);
/// @throws std::invalid_argument if the text is not a rollout record.
[[nodiscard]] RolloutRecord decodeRollout(std::string_view Text);

} // namespace goldcrestnotch
