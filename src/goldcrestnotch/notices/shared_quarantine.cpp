/// @file
/// Reports about suspects, from this VM and from others.

#include "goldcrestnotch/notices/shared_quarantine.hpp"

#include <algorithm>
#include <string>

#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch::notices {

namespace internal {

/// A broadcast is repeated within this time.
static constexpr Millis RepeatTime{10'000};

/// @brief Formats hashes for a log line.
[[nodiscard]] static std::string
toText(const SharedQuarantine::Suspects &Listed) {
  std::string Result;
  for (const auto &Suspected : Listed) {
    Result += (Result.empty() ? "" : ",") + std::to_string(Suspected.Hash);
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

/// @brief What the end of one run of a target tells about the requests that it
/// had not answered. Their suspects are told together, since a target may have
/// lost many responses.
struct EndEvidence {
  std::set<quarantine::CrashSuspect> Strong;
  std::set<quarantine::CrashSuspect> Weak;
  Instant Newest{}; ///< When the last one was sent, or its response began.

  void add(const quarantine::UnansweredRequest &Request) {
    const auto &Own = Request.Suspects;
    Strong.insert(Own.Request);
    // All that waited at the target may share parts, but not fingerprints.
    auto &OfParts = Request.Begun ? Strong : Weak;
    OfParts.insert(Own.Parts.begin(), Own.Parts.end());
    Newest = std::max(Newest, Request.Since);
  }
};

static void logUnanswered(const quarantine::UnansweredRequest &Request,
                          EndSign Sign) {
  log(LogLevel::Warn, "prompt.target_ended",
      {{"run", static_cast<std::int64_t>(Request.Run.Incarnation)},
       {"fingerprint", std::to_string(Request.Suspects.Request.Hash)},
       {"parts", toText(Request.Suspects.Parts)},
       {"begun", Request.Begun},
       {"sign", std::string{toText(Sign)}}});
}

[[nodiscard]] static quarantine::TargetRun
runOf(const backend::Registration &Target) {
  return {hashOf(Target.Name.str()), Target.Incarnation};
}

} // namespace internal

void SharedQuarantine::reportCrash(Instant Now,
                                   const backend::Registration &Target,
                                   const quarantine::RequestSuspects &Own) {
  log(LogLevel::Warn, "prompt.broke_off",
      {{"target", Target.Name.str()},
       {"fingerprint", std::to_string(Own.Request.Hash)},
       {"parts", internal::toText(Own.Parts)}});
  tell(Now, {internal::runOf(Target), Own.all(), Millis{0}});
}

quarantine::OpenAnswers::Key
SharedQuarantine::open(Instant Now, const backend::Registration &Target,
                       const quarantine::RequestSuspects &Own) {
  return Open.open(Now, internal::runOf(Target), Own);
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
    Instant Now, const std::vector<quarantine::UnansweredRequest> &Unanswered,
    EndSign Sign) {
  std::map<quarantine::TargetRun, internal::EndEvidence> EvidenceByRun;
  for (const auto &Request : Unanswered) {
    internal::logUnanswered(Request, Sign);
    EvidenceByRun[Request.Run].add(Request);
  }
  for (const auto &[Ended, Evidence] : EvidenceByRun) {
    const auto Age = Now - Evidence.Newest;
    tell(Now, Ended, Age, Evidence.Strong, quarantine::CrashEvidence::Strong);
    tell(Now, Ended, Age, Evidence.Weak, quarantine::CrashEvidence::Weak);
  }
}

void SharedQuarantine::tell(Instant Now, quarantine::TargetRun Ended,
                            Millis Age,
                            const std::set<quarantine::CrashSuspect> &Suspects,
                            quarantine::CrashEvidence Evidence) {
  CrashNotice Notice{Ended, {}, Age, Evidence};
  for (const auto &Suspected : Suspects) {
    Notice.Suspects.push_back(Suspected);
    if (Notice.Suspects.size() == MaxSuspects) {
      tell(Now, Notice);
      Notice.Suspects.clear();
    }
  }
  if (!Notice.Suspects.empty()) {
    tell(Now, Notice);
  }
}

void SharedQuarantine::tell(Instant Now, const CrashNotice &Notice) {
  observeCrash(Now, Notice, "target");
  Socket.broadcast(Notice);
}

void SharedQuarantine::observeCrash(Instant Now, const CrashNotice &Notice,
                                    const char *Source) {
  const auto Quarantined = Quarantine.observeCrash(
      Now, Now - Notice.Age, Notice.Ended, Notice.Suspects, Notice.Evidence);
  if (!Quarantined.empty()) {
    Counters.count("prompt_parts_quarantined_total", Quarantined.size());
    log(LogLevel::Warn, "prompt.quarantined",
        {{"parts", internal::toText(Quarantined)},
         {"source", std::string{Source}}});
  }
}

void SharedQuarantine::reportAnswer(Instant Now,
                                    const quarantine::RequestSuspects &Own) {
  const auto Cleared = Quarantine.observeAnswer(Now, Own.all());
  if (!Cleared.empty()) {
    log(LogLevel::Info, "prompt.cleared",
        {{"parts", internal::toText(Cleared)}});
    Socket.broadcast(ClearanceNotice{Cleared});
  }
}

void SharedQuarantine::handle(Instant Now, const CrashNotice &Notice) {
  // Repeats differ in their age only.
  const CrashNotice First{Notice.Ended, Notice.Suspects, Millis{0},
                          Notice.Evidence};
  const auto [It, New] =
      Taken.emplace(hashOf(encode(First)), Now + internal::RepeatTime);
  if (New) {
    observeCrash(Now, Notice, "vm");
  }
}

void SharedQuarantine::handle(Instant Now, const ClearanceNotice &Notice) {
  (void)Quarantine.observeAnswer(Now, Notice.Suspects);
}

void SharedQuarantine::adopt(
    Instant Now, const std::vector<quarantine::QuarantinedSuspect> &Reported) {
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
