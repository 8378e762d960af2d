/// @file
/// The quarantine of prompt parts that all VMs keep together: each VM tells the
/// others which responses broke off, and which suspected parts were answered.

#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "goldcrestnotch/backend/target.hpp"
#include "goldcrestnotch/notices/message.hpp"
#include "goldcrestnotch/notices/notice_socket.hpp"
#include "goldcrestnotch/quarantine/open_answers.hpp"
#include "goldcrestnotch/quarantine/part_quarantine.hpp"
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
  using Parts = std::vector<quarantine::PromptPart>;

  SharedQuarantine(NoticeSocket &Socket, Metrics &Counters)
      : Socket{Socket}, Counters{Counters} {}

  [[nodiscard]] quarantine::Verdict judge(Instant Now,
                                          const Parts &Shared) const {
    return Quarantine.judge(Now, Shared);
  }
  /// @brief Until when a refused request would be refused again.
  [[nodiscard]] Instant deadline(const Parts &Shared) const {
    return Quarantine.deadline(Shared);
  }
  [[nodiscard]] std::vector<quarantine::QuarantinedPart>
  quarantined(Instant Now) const {
    return Quarantine.quarantined(Now);
  }

  /// @brief Records that a prompt was sent to a target.
  [[nodiscard]] quarantine::OpenAnswers::Key
  open(Instant Now, const backend::Registration &Target, const Parts &Shared);
  /// @brief The answers that are not known to be sound.
  [[nodiscard]] quarantine::OpenAnswers &openAnswers() noexcept { return Open; }
  /// @brief Records that a target's response to a prompt broke off before it
  /// was known to be sound, and tells the other VMs.
  void reportCrash(Instant Now, const backend::Registration &Target,
                   const Parts &Shared);
  /// @brief Records that a target has ended: the prompts that it has not
  /// answered may have crashed it.
  void reportEnd(Instant Now, const backend::Registration &Target,
                 EndSign Sign);
  /// @brief Records that a target has registered a run: its earlier runs have
  /// ended.
  void observeRun(Instant Now, const backend::Registration &Target);
  /// @brief Records that a prompt was answered; the other VMs are told if one
  /// of its parts was under suspicion.
  void reportAnswer(Instant Now, const Parts &Shared);
  void handle(Instant Now, const CrashNotice &Notice);
  void handle(Instant Now, const ClearanceNotice &Notice);
  /// @brief Takes what the record of another VM says.
  void adopt(Instant Now,
             const std::vector<quarantine::QuarantinedPart> &Reported);
  void maintain(Instant Now);

private:
  void observeCrash(Instant Now, const CrashNotice &Notice, const char *Source);
  void report(Instant Now,
              const std::vector<quarantine::UnansweredPrompt> &Prompts,
              EndSign Sign);

  NoticeSocket &Socket;
  Metrics &Counters;
  quarantine::PartQuarantine Quarantine;
  quarantine::OpenAnswers Open;
  /// Hashes of the reports of other VMs that have been taken, which arrive more
  /// than once, and until when they are remembered.
  std::map<std::uint64_t, Instant> Taken;
};

} // namespace goldcrestnotch::notices
