/// @file
/// Forward declarations of the rollout module.

#pragma once

namespace goldcrestnotch {

struct Observation;
struct Evidence;
struct MoveState;
class MoveBook;
class ExposureLimiter;
class RolloutService;

} // namespace goldcrestnotch
