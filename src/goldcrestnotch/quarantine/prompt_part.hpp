/// @file
/// Ids of prompt parts and of runs of targets, as VMs exchange them.

#pragma once

#include <cstdint>

namespace goldcrestnotch::quarantine {

/// @brief A part of prompts that several requests may share.
struct PromptPart {
  std::uint64_t Hash = 0; ///< `hashOf` its id.

  auto operator<=>(const PromptPart &) const = default;
};

/// @brief One run of a target, from its start to its end.
struct TargetRun {
  std::uint64_t NameHash = 0; ///< `hashOf` the target's name.
  std::uint64_t Incarnation = 0;

  auto operator<=>(const TargetRun &) const = default;
};

} // namespace goldcrestnotch::quarantine
