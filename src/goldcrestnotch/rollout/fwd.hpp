/// @file
/// Forward declarations of the rollout module.

#pragma once

namespace goldcrestnotch {

struct Observation;
class RolloutService;

} // namespace goldcrestnotch
