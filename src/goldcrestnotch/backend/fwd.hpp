/// @file
/// Forward declarations of the backend module.

#pragma once

namespace goldcrestnotch::backend {

struct Target;
struct Registration;
class TargetSet;
class RetryBudget;

} // namespace goldcrestnotch::backend
