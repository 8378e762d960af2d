/// @file
/// Forward declarations of the roster module.

#pragma once

namespace goldcrestnotch::roster {

class Roster;

} // namespace goldcrestnotch::roster
