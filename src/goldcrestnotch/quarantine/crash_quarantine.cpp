/// @file
/// Evidence for and against suspects.

#include "goldcrestnotch/quarantine/crash_quarantine.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestnotch::quarantine {

namespace internal {

static constexpr int MaxRefusalDoublings = 4;

[[nodiscard]] static bool contains(std::span<const CrashSuspect> Suspects,
                                   CrashSuspect Suspected) {
  return std::find(Suspects.begin(), Suspects.end(), Suspected) !=
         Suspects.end();
}

} // namespace internal

bool CrashQuarantine::explainedByOther(
    Instant Now, const Suspicion &Held,
    std::span<const CrashSuspect> Suspects) const {
  if (Held.Crashes.size() >= MaxCrashesKept) {
    return false; // Further crashes are not recorded one by one.
  }
  return std::any_of(
      Suspicions.begin(), Suspicions.end(), [&](const auto &Entry) {
        const auto &[Other, Evidence] = Entry;
        return Now < Evidence.Deadline &&
               !internal::contains(Suspects, Other) &&
               std::includes(Evidence.Crashes.begin(), Evidence.Crashes.end(),
                             Held.Crashes.begin(), Held.Crashes.end());
      });
}

bool CrashQuarantine::refuses(Instant Now, CrashSuspect Suspected,
                              std::span<const CrashSuspect> Suspects) const {
  const auto It = Suspicions.find(Suspected);
  return It != Suspicions.end() && Now < It->second.Deadline &&
         (It->second.Adopted || !explainedByOther(Now, It->second, Suspects));
}

Verdict CrashQuarantine::judge(Instant Now,
                               std::span<const CrashSuspect> Suspects) const {
  if (Suspicions.empty()) {
    return Verdict::Sound;
  }
  auto Result = Verdict::Sound;
  for (const auto Suspected : Suspects) {
    if (refuses(Now, Suspected, Suspects)) {
      return Verdict::Refused;
    }
    const auto It = Suspicions.find(Suspected);
    if (It != Suspicions.end() &&
        reaches(It->second, SuspectCrashes, SuspectLosses)) {
      Result = Verdict::Suspect;
    }
  }
  return Result;
}

Instant
CrashQuarantine::deadline(std::span<const CrashSuspect> Suspects) const {
  Instant Result{};
  for (const auto Suspected : Suspects) {
    if (const auto It = Suspicions.find(Suspected); It != Suspicions.end()) {
      Result = std::max(Result, It->second.Deadline);
    }
  }
  return Result;
}

std::vector<QuarantinedSuspect>
CrashQuarantine::quarantined(Instant Now) const {
  std::vector<QuarantinedSuspect> Result;
  for (const auto &[Suspected, Evidence] : Suspicions) {
    if (Now < Evidence.Deadline) {
      Result.push_back({Suspected, Evidence.Deadline});
    }
  }
  return Result;
}

void CrashQuarantine::remember(CrashSuspect Suspected) {
  if (Answered.insert(Suspected).second && Answered.size() >= MaxAnswered) {
    AnsweredEarlier = std::exchange(Answered, {});
  }
}

bool CrashQuarantine::answeredBefore(CrashSuspect Suspected) const {
  return Answered.contains(Suspected) || AnsweredEarlier.contains(Suspected);
}

void CrashQuarantine::makeRoom() {
  if (Suspicions.size() < MaxSuspicions) {
    return;
  }
  std::erase_if(Suspicions, [](const auto &Entry) {
    return !Entry.second.Adopted && Entry.second.Crashes.size() < 2;
  });
}

void CrashQuarantine::add(Suspicion &Held, Instant When, TargetRun Ended,
                          CrashEvidence Evidence) {
  if (Held.Crashes.size() < MaxCrashesKept) {
    Held.Crashes.insert(Ended);
  }
  if (Evidence == CrashEvidence::Strong &&
      Held.StrongCrashes.size() < MaxCrashesKept) {
    Held.StrongCrashes.insert(Ended);
  }
  const bool Correlated = std::any_of(
      Held.Moments.begin(), Held.Moments.end(), [&](Instant Moment) {
        return std::chrono::abs(When - Moment) < CorrelationTime;
      });
  if (!Correlated && Held.Moments.size() < MaxCrashesKept) {
    Held.Moments.push_back(When);
  }
}

bool CrashQuarantine::reaches(const Suspicion &Held, std::size_t StrongCrashes,
                              std::size_t Crashes) {
  const auto Moments = Held.Moments.size();
  return std::min(Held.StrongCrashes.size(), Moments) >= StrongCrashes ||
         std::min(Held.Crashes.size(), Moments) >= Crashes;
}

std::vector<CrashSuspect>
CrashQuarantine::observeCrash(Instant Now, Instant When, TargetRun Ended,
                              std::span<const CrashSuspect> Suspects,
                              CrashEvidence Evidence) {
  std::vector<CrashSuspect> Result;
  for (const auto Suspected : Suspects) {
    if (!Suspicions.contains(Suspected)) {
      makeRoom();
    }
    auto &Held = Suspicions[Suspected];
    add(Held, When, Ended, Evidence);
    Held.LastCrash = Now;
    if (!reaches(Held, RefusedCrashes, RefusedLosses) || Now < Held.Deadline) {
      continue;
    }
    const auto Refusal =
        (answeredBefore(Suspected) ? MinRefusalOfKnown : MinRefusal) *
        (1 << std::min(Held.Relapses, internal::MaxRefusalDoublings));
    ++Held.Relapses;
    Held.Deadline = Now + std::min(Refusal, MaxRefusal);
    Result.push_back(Suspected);
  }
  return Result;
}

std::vector<CrashSuspect>
CrashQuarantine::observeAnswer(Instant Now,
                               std::span<const CrashSuspect> Suspects) {
  std::vector<CrashSuspect> Result;
  for (const auto Suspected : Suspects) {
    remember(Suspected);
    if (Suspicions.erase(Suspected) > 0) {
      ClearedUntil[Suspected] = Now + ClearanceTime;
      Result.push_back(Suspected);
    }
  }
  return Result;
}

void CrashQuarantine::adopt(Instant Now, const QuarantinedSuspect &Reported) {
  const auto Cleared = ClearedUntil.find(Reported.Suspected);
  if (Cleared != ClearedUntil.end() && Now < Cleared->second) {
    return;
  }
  if (Now >= Reported.Deadline) {
    return;
  }
  // A VM that knows the part goes by its own deadline. Otherwise two VMs could
  // extend a refusal for each other without end.
  const auto [It, Unknown] = Suspicions.try_emplace(Reported.Suspected);
  if (Unknown) {
    It->second.Adopted = true;
    It->second.LastCrash = Now;
    It->second.Relapses = 1;
    It->second.Deadline = std::min(Reported.Deadline, Now + MaxRefusal);
  }
}

void CrashQuarantine::expire(Instant Now) {
  std::erase_if(Suspicions, [&](const auto &Entry) {
    return Now >= Entry.second.Deadline + SuspicionTime &&
           Now >= Entry.second.LastCrash + SuspicionTime;
  });
  std::erase_if(ClearedUntil,
                [&](const auto &Entry) { return Now >= Entry.second; });
}

} // namespace goldcrestnotch::quarantine
