/// @file
/// Evidence for and against parts of prompts.

#include "goldcrestnotch/quarantine/part_quarantine.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestnotch::quarantine {

namespace internal {

static constexpr int MaxRefusalDoublings = 4;

[[nodiscard]] static bool contains(std::span<const PromptPart> Parts,
                                   PromptPart Part) {
  return std::find(Parts.begin(), Parts.end(), Part) != Parts.end();
}

} // namespace internal

bool PartQuarantine::explainedByOther(Instant Now, const Suspicion &Suspected,
                                      std::span<const PromptPart> Parts) const {
  if (Suspected.Crashes.size() >= MaxCrashesKept) {
    return false; // Further crashes are not recorded one by one.
  }
  return std::any_of(
      Suspicions.begin(), Suspicions.end(), [&](const auto &Entry) {
        const auto &[Other, Evidence] = Entry;
        return Now < Evidence.Deadline && !internal::contains(Parts, Other) &&
               std::includes(Evidence.Crashes.begin(), Evidence.Crashes.end(),
                             Suspected.Crashes.begin(),
                             Suspected.Crashes.end());
      });
}

bool PartQuarantine::refuses(Instant Now, PromptPart Part,
                             std::span<const PromptPart> Parts) const {
  const auto It = Suspicions.find(Part);
  return It != Suspicions.end() && Now < It->second.Deadline &&
         (It->second.Adopted || !explainedByOther(Now, It->second, Parts));
}

Verdict PartQuarantine::judge(Instant Now,
                              std::span<const PromptPart> Parts) const {
  if (Suspicions.empty()) {
    return Verdict::Sound;
  }
  auto Result = Verdict::Sound;
  for (const auto Part : Parts) {
    if (refuses(Now, Part, Parts)) {
      return Verdict::Refused;
    }
    const auto It = Suspicions.find(Part);
    if (It != Suspicions.end() &&
        reaches(It->second, SuspectCrashes, SuspectLosses)) {
      Result = Verdict::Suspect;
    }
  }
  return Result;
}

Instant PartQuarantine::deadline(std::span<const PromptPart> Parts) const {
  Instant Result{};
  for (const auto Part : Parts) {
    if (const auto It = Suspicions.find(Part); It != Suspicions.end()) {
      Result = std::max(Result, It->second.Deadline);
    }
  }
  return Result;
}

std::vector<QuarantinedPart> PartQuarantine::quarantined(Instant Now) const {
  std::vector<QuarantinedPart> Result;
  for (const auto &[Part, Evidence] : Suspicions) {
    if (Now < Evidence.Deadline) {
      Result.push_back({Part, Evidence.Deadline});
    }
  }
  return Result;
}

void PartQuarantine::remember(PromptPart Part) {
  if (Answered.insert(Part).second && Answered.size() >= MaxAnswered) {
    AnsweredEarlier = std::exchange(Answered, {});
  }
}

bool PartQuarantine::answeredBefore(PromptPart Part) const {
  return Answered.contains(Part) || AnsweredEarlier.contains(Part);
}

void PartQuarantine::add(Suspicion &Held, Instant When, TargetRun Ended,
                         CrashEvidence Evidence) {
  if (Held.Crashes.size() < MaxCrashesKept) {
    Held.Crashes.insert(Ended);
  }
  if (Evidence == CrashEvidence::Begun &&
      Held.BegunCrashes.size() < MaxCrashesKept) {
    Held.BegunCrashes.insert(Ended);
  }
  const bool Correlated = std::any_of(
      Held.Moments.begin(), Held.Moments.end(), [&](Instant Moment) {
        return std::chrono::abs(When - Moment) < CorrelationTime;
      });
  if (!Correlated && Held.Moments.size() < MaxCrashesKept) {
    Held.Moments.push_back(When);
  }
}

bool PartQuarantine::reaches(const Suspicion &Held, std::size_t BegunCrashes,
                             std::size_t Crashes) {
  const auto Moments = Held.Moments.size();
  return std::min(Held.BegunCrashes.size(), Moments) >= BegunCrashes ||
         std::min(Held.Crashes.size(), Moments) >= Crashes;
}

std::vector<PromptPart>
PartQuarantine::observeCrash(Instant Now, Instant When, TargetRun Ended,
                             std::span<const PromptPart> Parts,
                             CrashEvidence Evidence) {
  std::vector<PromptPart> Result;
  for (const auto Part : Parts) {
    auto &Held = Suspicions[Part];
    add(Held, When, Ended, Evidence);
    Held.LastCrash = Now;
    if (!reaches(Held, RefusedCrashes, RefusedLosses) || Now < Held.Deadline) {
      continue;
    }
    const auto Refusal =
        (answeredBefore(Part) ? MinRefusalOfKnownPart : MinRefusal) *
        (1 << std::min(Held.Relapses, internal::MaxRefusalDoublings));
    ++Held.Relapses;
    Held.Deadline = Now + std::min(Refusal, MaxRefusal);
    Result.push_back(Part);
  }
  return Result;
}

std::vector<PromptPart>
PartQuarantine::observeAnswer(Instant Now, std::span<const PromptPart> Parts) {
  std::vector<PromptPart> Result;
  for (const auto Part : Parts) {
    remember(Part);
    if (Suspicions.erase(Part) > 0) {
      ClearedUntil[Part] = Now + ClearanceTime;
      Result.push_back(Part);
    }
  }
  return Result;
}

void PartQuarantine::adopt(Instant Now, const QuarantinedPart &Reported) {
  const auto Cleared = ClearedUntil.find(Reported.Part);
  if (Cleared != ClearedUntil.end() && Now < Cleared->second) {
    return;
  }
  if (Now >= Reported.Deadline) {
    return;
  }
  // A VM that knows the part goes by its own deadline. Otherwise two VMs could
  // extend a refusal for each other without end.
  const auto [It, Unknown] = Suspicions.try_emplace(Reported.Part);
  if (Unknown) {
    It->second.Adopted = true;
    It->second.LastCrash = Now;
    It->second.Relapses = 1;
    It->second.Deadline = std::min(Reported.Deadline, Now + MaxRefusal);
  }
}

void PartQuarantine::expire(Instant Now) {
  std::erase_if(Suspicions, [&](const auto &Entry) {
    return Now >= Entry.second.Deadline + SuspicionTime &&
           Now >= Entry.second.LastCrash + SuspicionTime;
  });
  std::erase_if(ClearedUntil,
                [&](const auto &Entry) { return Now >= Entry.second; });
}

} // namespace goldcrestnotch::quarantine
