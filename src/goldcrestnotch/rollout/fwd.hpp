/// @file
/// Forward declarations of the rollout module.

#pragma once

namespace goldcrestnotch {

struct Observation;
struct Evidence;
struct MoveState;
class MoveTable;
class ExposureLimiter;
class RolloutService;
class SlowResponseDetector;
class TrafficShift;
class OrderHistory;

} // namespace goldcrestnotch
