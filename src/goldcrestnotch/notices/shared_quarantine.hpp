/// @file
/// The quarantine that all VMs keep together: each VM tells the others under
/// which requests a target ended, and which suspects were answered.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "goldcrestnotch/backend/target.hpp"
#include "goldcrestnotch/notices/message.hpp"
#include "goldcrestnotch/notices/notice_socket.hpp"
#include "goldcrestnotch/quarantine/crash_quarantine.hpp"
#include "goldcrestnotch/quarantine/open_answers.hpp"
#include "goldcrestnotch/telemetry/metrics.hpp"

namespace goldcrestnotch::notices {

/// @brief How this VM knows that a target has ended.
enum class EndSign : std::uint8_t {
  RefusesConnections, ///< Nothing listens at its address.
  Replaced,           ///< Another target is at its address.
  NewRun,             ///< It has registered a new run.
  Unreachable,        ///< It is silent, and new connections hang. A cut may be
                      ///< the cause, so only responses that had begun count.
};

/// @brief This VM's copy of the quarantine.
class SharedQuarantine {
public:
  using Suspects = std::vector<quarantine::CrashSuspect>;

  SharedQuarantine(NoticeSocket &Socket, Metrics &Counters)
      : Socket{Socket}, Counters{Counters} {}

  /// @brief Whether every request may be sent.
  [[nodiscard]] bool empty() const noexcept { return Quarantine.empty(); }
  [[nodiscard]] quarantine::Verdict judge(Instant Now,
                                          const Suspects &Own) const {
    return Quarantine.judge(Now, Own);
  }
  /// @brief Until when a refused request would be refused again.
  [[nodiscard]] Instant deadline(const Suspects &Own) const {
    return Quarantine.deadline(Own);
  }
  [[nodiscard]] std::vector<quarantine::QuarantinedSuspect>
  quarantined(Instant Now) const {
    return Quarantine.quarantined(Now);
  }

  /// @brief Records that a request was sent to a target.
  [[nodiscard]] quarantine::OpenAnswers::Key
  open(Instant Now, const backend::Registration &Target,
       const quarantine::RequestSuspects &Own);
  /// @brief The answers that are not known to be sound.
  [[nodiscard]] quarantine::OpenAnswers &openAnswers() noexcept { return Open; }
  /// @brief Records that a target's response to a request broke off before it
  /// was known to be sound, and tells the other VMs.
  void reportCrash(Instant Now, const backend::Registration &Target,
                   const quarantine::RequestSuspects &Own);
  /// @brief Records that a target has ended: the requests that it has not
  /// answered may have crashed it.
  void reportEnd(Instant Now, const backend::Registration &Target,
                 EndSign Sign);
  /// @brief Records that a target has registered a run: its earlier runs have
  /// ended.
  void observeRun(Instant Now, const backend::Registration &Target);
  /// @brief Records that a request was answered; the other VMs are told if one
  /// of its suspects had something held against it.
  void reportAnswer(Instant Now, const quarantine::RequestSuspects &Own);
  void handle(Instant Now, const CrashNotice &Notice);
  void handle(Instant Now, const ClearanceNotice &Notice);
  /// @brief Takes what the record of another VM says.
  void adopt(Instant Now,
             const std::vector<quarantine::QuarantinedSuspect> &Reported);
  void maintain(Instant Now);

private:
  void observeCrash(Instant Now, const CrashNotice &Notice, const char *Source);
  void report(Instant Now,
              const std::vector<quarantine::UnansweredRequest> &Unanswered,
              EndSign Sign);
  /// @brief Records evidence of this VM, and tells the other VMs.
  void tell(Instant Now, const CrashNotice &Notice);
  /// @brief Tells of suspects, as many in a notice as fit.
  void tell(Instant Now, quarantine::TargetRun Ended, Millis Age,
            const std::set<quarantine::CrashSuspect> &Suspects,
            quarantine::CrashEvidence Evidence);

  NoticeSocket &Socket;
  Metrics &Counters;
  quarantine::CrashQuarantine Quarantine;
  quarantine::OpenAnswers Open;
  /// Hashes of the reports of other VMs that have been taken, which arrive more
  /// than once, and until when they are remembered.
  std::map<std::uint64_t, Instant> Taken;
};

} // namespace goldcrestnotch::notices
