/// @file
/// Forward declarations of the membership module.

#pragma once

namespace goldcrestnotch {

struct VmEntry;
class MembershipView;
class Membership;

} // namespace goldcrestnotch
