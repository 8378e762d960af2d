/// @file
/// Forward declarations of the placement module.

#pragma once

namespace goldcrestnotch {

struct PlacementRequest;
struct Backoff;
template <typename HealthPolicy = Backoff> class Placer;
class PlacementService;

} // namespace goldcrestnotch
