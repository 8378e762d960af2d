/// @file
/// Forward declarations of the membership module.

#pragma once

namespace goldcrestnotch {

struct VmEntry;
class View;
class Membership;

} // namespace goldcrestnotch
