/// @file
/// Reports about prompt parts, from this VM and from others.

#include "goldcrestnotch/notices/shared_quarantine.hpp"

#include <string>

#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch::notices {

namespace internal {

/// A broadcast is repeated within this time.
static constexpr Millis RepeatTime{10'000};

/// @brief Formats hashes for a log line.
[[nodiscard]] static std::string toText(const SharedQuarantine::Parts &Shared) {
  std::string Result;
  for (const auto &Part : Shared) {
    Result += (Result.empty() ? "" : ",") + std::to_string(Part.Hash);
  }
  return Result;
}

[[nodiscard]] static const char *toText(EndSign Sign) {
  switch (Sign) {
  case EndSign::RefusesConnections:
    return "refuses_connections";
  case EndSign::Replaced:
    return "replaced";
  case EndSign::NewRun:
    return "new_run";
  case EndSign::Unreachable:
    return "unreachable";
  }
  return "";
}

[[nodiscard]] static quarantine::TargetRun
runOf(const backend::Registration &Target) {
  return {hashOf(Target.Name.str()), Target.Incarnation};
}

} // namespace internal

void SharedQuarantine::reportCrash(Instant Now,
                                   const backend::Registration &Target,
                                   const Parts &Shared) {
  if (Shared.empty()) {
    return;
  }
  const CrashNotice Notice{internal::runOf(Target), Shared, Millis{0}};
  log(LogLevel::Warn, "prompt.broke_off",
      {{"target", Target.Name.str()}, {"parts", internal::toText(Shared)}});
  observeCrash(Now, Notice, "target");
  Socket.broadcast(Notice);
}

quarantine::OpenAnswers::Key
SharedQuarantine::open(Instant Now, const backend::Registration &Target,
                       const Parts &Shared) {
  return Open.open(Now, internal::runOf(Target), Shared);
}

void SharedQuarantine::reportEnd(Instant Now,
                                 const backend::Registration &Target,
                                 EndSign Sign) {
  report(Now,
         Open.endRun(internal::runOf(Target), Sign == EndSign::Unreachable),
         Sign);
}

void SharedQuarantine::observeRun(Instant Now,
                                  const backend::Registration &Target) {
  report(Now, Open.startRun(internal::runOf(Target)), EndSign::NewRun);
}

void SharedQuarantine::report(
    Instant Now, const std::vector<quarantine::UnansweredPrompt> &Prompts,
    EndSign Sign) {
  for (const auto &Prompt : Prompts) {
    if (Prompt.Parts.empty()) {
      continue;
    }
    const CrashNotice Notice{Prompt.Run, Prompt.Parts, Now - Prompt.Since,
                             Prompt.Begun ? quarantine::CrashEvidence::Begun
                                          : quarantine::CrashEvidence::Waiting};
    log(LogLevel::Warn, "prompt.target_ended",
        {{"run", static_cast<std::int64_t>(Prompt.Run.Incarnation)},
         {"parts", internal::toText(Prompt.Parts)},
         {"begun", Prompt.Begun},
         {"sign", std::string{internal::toText(Sign)}}});
    observeCrash(Now, Notice, "target");
    Socket.broadcast(Notice);
  }
}

void SharedQuarantine::observeCrash(Instant Now, const CrashNotice &Notice,
                                    const char *Source) {
  const auto Quarantined = Quarantine.observeCrash(
      Now, Now - Notice.Age, Notice.Ended, Notice.Parts, Notice.Evidence);
  if (!Quarantined.empty()) {
    Counters.count("prompt_parts_quarantined_total", Quarantined.size());
    log(LogLevel::Warn, "prompt.quarantined",
        {{"parts", internal::toText(Quarantined)},
         {"source", std::string{Source}}});
  }
}

void SharedQuarantine::reportAnswer(Instant Now, const Parts &Shared) {
  const auto Cleared = Quarantine.observeAnswer(Now, Shared);
  if (!Cleared.empty()) {
    log(LogLevel::Info, "prompt.cleared",
        {{"parts", internal::toText(Cleared)}});
    Socket.broadcast(ClearanceNotice{Cleared});
  }
}

void SharedQuarantine::handle(Instant Now, const CrashNotice &Notice) {
  // Repeats differ in their age only.
  const CrashNotice First{Notice.Ended, Notice.Parts, Millis{0},
                          Notice.Evidence};
  const auto [It, New] =
      Taken.emplace(hashOf(encode(First)), Now + internal::RepeatTime);
  if (New) {
    observeCrash(Now, Notice, "vm");
  }
}

void SharedQuarantine::handle(Instant Now, const ClearanceNotice &Notice) {
  (void)Quarantine.observeAnswer(Now, Notice.Parts);
}

void SharedQuarantine::adopt(
    Instant Now, const std::vector<quarantine::QuarantinedPart> &Reported) {
  for (const auto &Entry : Reported) {
    Quarantine.adopt(Now, Entry);
  }
}

void SharedQuarantine::maintain(Instant Now) {
  Quarantine.expire(Now);
  Open.expire(Now);
  std::erase_if(Taken, [&](const auto &Entry) { return Now >= Entry.second; });
  Counters.set("prompt_parts_quarantined",
               static_cast<double>(Quarantine.quarantined(Now).size()));
}

} // namespace goldcrestnotch::notices
