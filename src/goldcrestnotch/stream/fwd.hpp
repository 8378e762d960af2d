/// @file
/// Forward declarations of the stream module.

#pragma once

namespace goldcrestnotch {

struct StreamEvent;
class EventParser;
class Relay;

} // namespace goldcrestnotch
