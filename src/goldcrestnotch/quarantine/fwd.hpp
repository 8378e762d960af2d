/// @file
/// Forward declarations of the quarantine module.

#pragma once

namespace goldcrestnotch::quarantine {

struct PromptPart;
struct TargetRun;
struct UnansweredPrompt;
class OpenAnswers;
class PartQuarantine;

} // namespace goldcrestnotch::quarantine
