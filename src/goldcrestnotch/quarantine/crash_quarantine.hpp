/// @file
/// Decides which requests are refused because they, or a part of their prompt,
/// crash the targets that run them.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/quarantine/crash_suspect.hpp"

namespace goldcrestnotch::quarantine {

/// @brief What may be done with a request, by its suspects.
enum class Verdict : std::uint8_t {
  Sound,   ///< Nothing is held against it.
  Suspect, ///< It may be sent, but not again after a lost response.
  Refused, ///< It would crash a target.
};

/// @brief A suspect whose requests are refused.
struct QuarantinedSuspect {
  CrashSuspect Suspected;
  Instant Deadline{}; ///< Until when its requests are refused.
};

/// @brief What the end of a target says about a suspect of a request that it
/// had not answered.
enum class CrashEvidence : std::uint8_t {
  Strong, ///< The response had begun, or the suspect is the whole request.
  Weak,   ///< A part of a prompt that may have waited there, as others did.
};

/// @brief The requests, and parts of prompts, whose targets ended before they
/// were answered, by what all VMs have seen. Does no I/O and reads no clock.
///
/// What crashes its targets crashes each one, so a single sound answer clears
/// all suspects of its request. Suspects that always occur together can't be
/// told apart by crashes alone: a request that has only some of them is let
/// through, since it shows which one it is.
class CrashQuarantine {
public:
  /// Runs of targets that must have ended under a suspect before requests with
  /// it aren't repeated, and before they are refused.
  static constexpr std::size_t SuspectCrashes = 2;
  static constexpr std::size_t RefusedCrashes = 3;
  /// The same if the evidence of some of them is weak.
  static constexpr std::size_t SuspectLosses = 3;
  static constexpr std::size_t RefusedLosses = 5;
  /// Time for which requests with a suspect are refused; it doubles with each
  /// relapse, up to a maximum. Each trial afterwards may cost a target and all
  /// of its streams.
  static constexpr Millis MinRefusal{300'000};
  /// The same for a suspect that has been answered before, such as a part that
  /// all prompts of a service share.
  static constexpr Millis MinRefusalOfKnown{2'000};
  /// Crashes within this time count once, since they may have another cause in
  /// common, such as a rack that fails.
  static constexpr Millis CorrelationTime{100};
  static constexpr Millis MaxRefusal{3'600'000};
  /// Number of suspects with something held against them. If there are more,
  /// those under which only one target has ended are forgotten.
  static constexpr std::size_t MaxSuspicions = 16'384;
  /// Suspicions are forgotten after this time without a crash.
  static constexpr Millis SuspicionTime{120'000};
  /// For this long after a suspect was cleared, older reports of other VMs that
  /// it is quarantined are ignored.
  static constexpr Millis ClearanceTime{30'000};

  /// @brief Whether nothing is held against any suspect.
  [[nodiscard]] bool empty() const noexcept { return Suspicions.empty(); }
  /// @brief Judges a request by its suspects.
  [[nodiscard]] Verdict judge(Instant Now,
                              std::span<const CrashSuspect> Suspects) const;
  /// @brief Until when requests with one of the suspects are refused; the epoch
  /// if they aren't.
  [[nodiscard]] Instant deadline(std::span<const CrashSuspect> Suspects) const;
  /// @brief What is in quarantine, for VMs that start later.
  [[nodiscard]] std::vector<QuarantinedSuspect> quarantined(Instant Now) const;

  /// @brief Records that a target ended before it had answered a request.
  /// @param When It ended then; reports of other VMs may arrive late.
  /// @return The suspects that are quarantined because of it.
  std::vector<CrashSuspect>
  observeCrash(Instant Now, Instant When, TargetRun Ended,
               std::span<const CrashSuspect> Suspects,
               CrashEvidence Evidence = CrashEvidence::Strong);
  /// @brief Records that a target has answered a request and is still running.
  /// @return The suspects that are cleared.
  std::vector<CrashSuspect>
  observeAnswer(Instant Now, std::span<const CrashSuspect> Suspects);
  /// @brief Takes a report of another VM that a suspect is quarantined, unless
  /// something is known of it here.
  void adopt(Instant Now, const QuarantinedSuspect &Reported);
  /// @brief Forgets what is too old to matter.
  void expire(Instant Now);

private:
  /// @brief What is held against a suspect.
  struct Suspicion {
    std::set<TargetRun> Crashes;       ///< At most `MaxCrashesKept`.
    std::set<TargetRun> StrongCrashes; ///< Those with strong evidence.
    /// Times of crashes that are not correlated; at most `MaxCrashesKept`.
    std::vector<Instant> Moments;
    Instant LastCrash{};
    Instant Deadline{}; ///< Its requests are refused until then.
    int Relapses = 0;
    /// Reported by another VM, whose crashes are not known here.
    bool Adopted = false;
  };

  static constexpr std::size_t MaxCrashesKept = 8;
  /// Number of suspects in each half of the memory.
  static constexpr std::size_t MaxAnswered = 8'192;

  /// @brief Remembers that requests with a suspect have been answered.
  void remember(CrashSuspect Suspected);
  /// @brief Whether requests with a suspect have been answered lately.
  [[nodiscard]] bool answeredBefore(CrashSuspect Suspected) const;
  /// @brief Makes room for a suspect that nothing is held against yet.
  void makeRoom();
  /// @brief Adds a crash to what is held against a suspect.
  static void add(Suspicion &Held, Instant When, TargetRun Ended,
                  CrashEvidence Evidence);
  /// @brief Whether what is held against a suspect reaches a number of crashes.
  [[nodiscard]] static bool reaches(const Suspicion &Held,
                                    std::size_t StrongCrashes,
                                    std::size_t Crashes);
  [[nodiscard]] bool refuses(Instant Now, CrashSuspect Suspected,
                             std::span<const CrashSuspect> Suspects) const;
  /// @brief Whether a suspect that the request doesn't have accounts for all
  /// crashes of one that it has.
  [[nodiscard]] bool
  explainedByOther(Instant Now, const Suspicion &Held,
                   std::span<const CrashSuspect> Suspects) const;

  std::map<CrashSuspect, Suspicion> Suspicions;
  std::map<CrashSuspect, Instant> ClearedUntil;
  /// Suspects that were answered, the newer and the older half of the memory.
  std::set<CrashSuspect> Answered;
  std::set<CrashSuspect> AnsweredEarlier;
};

} // namespace goldcrestnotch::quarantine
