/// @file
/// Bookkeeping of unanswered prompts.

#include "goldcrestnotch/quarantine/open_answers.hpp"

#include <utility>

namespace goldcrestnotch::quarantine {

OpenAnswers::Key OpenAnswers::open(Instant Now, TargetRun Run,
                                   std::vector<PromptPart> Parts) {
  Prompts.emplace(++LastKey, Entry{{Run, std::move(Parts), false, Now}});
  return LastKey;
}

void OpenAnswers::begin(Instant Now, Key Prompt) {
  if (const auto It = Prompts.find(Prompt); It != Prompts.end()) {
    It->second.Prompt.Begun = true;
    It->second.Prompt.Since = Now;
  }
}

void OpenAnswers::lose(Instant Now, Key Prompt) {
  const auto It = Prompts.find(Prompt);
  if (It == Prompts.end()) {
    return;
  }
  if (++Lost > MaxLost) {
    Prompts.erase(It);
    return;
  }
  It->second.MemoryDeadline = Now + LossMemory;
}

template <typename Predicate>
std::vector<UnansweredPrompt> OpenAnswers::take(Predicate Matches) {
  std::vector<UnansweredPrompt> Result;
  for (auto It = Prompts.begin(); It != Prompts.end();) {
    if (Matches(It->second.Prompt)) {
      Result.push_back(std::move(It->second.Prompt));
      It = Prompts.erase(It);
    } else {
      ++It;
    }
  }
  return Result;
}

std::vector<UnansweredPrompt> OpenAnswers::endRun(TargetRun Ended,
                                                  bool OnlyBegun) {
  return take([&](const UnansweredPrompt &Prompt) {
    return Prompt.Run == Ended && (Prompt.Begun || !OnlyBegun);
  });
}

std::vector<UnansweredPrompt> OpenAnswers::startRun(TargetRun Started) {
  return take([&](const UnansweredPrompt &Prompt) {
    return Prompt.Run.NameHash == Started.NameHash &&
           Prompt.Run.Incarnation < Started.Incarnation;
  });
}

void OpenAnswers::expire(Instant Now) {
  std::erase_if(Prompts, [&](const auto &Item) {
    return Now >= Item.second.MemoryDeadline;
  });
  Lost = 0;
  for (const auto &Item : Prompts) {
    Lost += Item.second.MemoryDeadline != Instant::max() ? 1 : 0;
  }
}

} // namespace goldcrestnotch::quarantine
