/// @file
/// Forward declarations of the recovery module.

#pragma once

namespace goldcrestnotch {

struct SweptStream;
struct SweepReport;
class Sweeper;
class RecoveryService;

} // namespace goldcrestnotch
