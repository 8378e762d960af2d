/// @file
/// Forward declarations of the relay module.

#pragma once

namespace goldcrestnotch::relay {

class TargetReach;
class RelayChoice;

} // namespace goldcrestnotch::relay
