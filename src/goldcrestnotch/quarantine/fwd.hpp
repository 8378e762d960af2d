/// @file
/// Forward declarations of the quarantine module.

#pragma once

namespace goldcrestnotch::quarantine {

struct CrashSuspect;
struct RequestIdentity;
struct RequestSuspects;
struct TargetRun;
struct UnansweredRequest;
class OpenAnswers;
class CrashQuarantine;

} // namespace goldcrestnotch::quarantine
