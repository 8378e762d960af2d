/// @file
/// Forward declarations of the roster module.

#pragma once

namespace goldcrestnotch::roster {

template <typename Key> class Homes;
class Roster;
struct MemberRecord;
struct MoveEvidence;

} // namespace goldcrestnotch::roster
