/// @file
/// Forward declarations of the ratelimit module.

#pragma once

namespace goldcrestnotch::ratelimit {

struct Permit;
class PermitIssuer;
class Permits;

} // namespace goldcrestnotch::ratelimit
