/// @file
/// Decides which requests are refused because a part of their prompt crashes
/// the targets that answer it.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/quarantine/prompt_part.hpp"

namespace goldcrestnotch::quarantine {

/// @brief What may be done with a request, by the parts of its prompt.
enum class Verdict : std::uint8_t {
  Sound,   ///< Nothing is held against its parts.
  Suspect, ///< It may be sent, but not again after a lost response.
  Refused, ///< It would crash a target.
};

/// @brief A part whose requests are refused.
struct QuarantinedPart {
  PromptPart Part;
  Instant Deadline{}; ///< Until when its requests are refused.
};

/// @brief What a crash says about a prompt that its target was at work on.
enum class CrashEvidence : std::uint8_t {
  Begun,   ///< Its response had begun and was not known to be sound.
  Waiting, ///< Its response had not begun, like those of all that waited there.
};

/// @brief The parts of prompts whose targets ended before they were answered,
/// by what all VMs have seen. Does no I/O and reads no clock.
///
/// A part that crashes its targets crashes each one, so a single sound answer
/// clears all parts of its prompt. Parts that always occur together can't be
/// told apart by crashes alone: a request that contains only some of them is
/// let through, since it shows which one it is.
class PartQuarantine {
public:
  /// Runs of targets that must have ended under a part before requests with it
  /// aren't repeated, and before they are refused.
  static constexpr std::size_t SuspectCrashes = 2;
  static constexpr std::size_t RefusedCrashes = 3;
  /// The same if responses had not begun under all of them.
  static constexpr std::size_t SuspectLosses = 3;
  static constexpr std::size_t RefusedLosses = 5;
  /// Time for which requests with a part are refused; it doubles with each
  /// relapse, up to a maximum. Each trial afterwards may cost a target and all
  /// of its streams.
  static constexpr Millis MinRefusal{300'000};
  /// The same for a part that has been answered before, such as one that all
  /// prompts of a service share.
  static constexpr Millis MinRefusalOfKnownPart{2'000};
  /// Crashes within this time count once, since they may have another cause in
  /// common, such as a rack that fails.
  static constexpr Millis CorrelationTime{100};
  static constexpr Millis MaxRefusal{3'600'000};
  /// Suspicions are forgotten after this time without a crash.
  static constexpr Millis SuspicionTime{120'000};
  /// For this long after a part was cleared, older reports of other VMs that it
  /// is quarantined are ignored.
  static constexpr Millis ClearanceTime{30'000};

  /// @brief Judges a request by the shared parts of its prompt.
  [[nodiscard]] Verdict judge(Instant Now,
                              std::span<const PromptPart> Parts) const;
  /// @brief Until when requests with one of the parts are refused; the epoch if
  /// they aren't.
  [[nodiscard]] Instant deadline(std::span<const PromptPart> Parts) const;
  /// @brief The quarantined parts, for VMs that start later.
  [[nodiscard]] std::vector<QuarantinedPart> quarantined(Instant Now) const;

  /// @brief Records that a target ended before it had answered a prompt.
  /// @param When It ended then; reports of other VMs may arrive late.
  /// @return The parts that are quarantined because of it.
  std::vector<PromptPart>
  observeCrash(Instant Now, Instant When, TargetRun Ended,
               std::span<const PromptPart> Parts,
               CrashEvidence Evidence = CrashEvidence::Begun);
  /// @brief Records that a target has answered a prompt and is still running.
  /// @return The parts that were under suspicion and are cleared.
  std::vector<PromptPart> observeAnswer(Instant Now,
                                        std::span<const PromptPart> Parts);
  /// @brief Takes a report of another VM that a part is quarantined, unless
  /// something is known of that part here.
  void adopt(Instant Now, const QuarantinedPart &Reported);
  /// @brief Forgets what is too old to matter.
  void expire(Instant Now);

private:
  /// @brief What is held against a part.
  struct Suspicion {
    std::set<TargetRun> Crashes; ///< At most `MaxCrashesKept`.
    /// Those of them under which a response had begun.
    std::set<TargetRun> BegunCrashes;
    /// Times of crashes that are not correlated; at most `MaxCrashesKept`.
    std::vector<Instant> Moments;
    Instant LastCrash{};
    Instant Deadline{}; ///< Its requests are refused until then.
    int Relapses = 0;
    /// Reported by another VM, whose crashes are not known here.
    bool Adopted = false;
  };

  static constexpr std::size_t MaxCrashesKept = 8;
  /// Number of parts in each half of the memory.
  static constexpr std::size_t MaxAnswered = 4'096;

  /// @brief Remembers that prompts with a part have been answered.
  void remember(PromptPart Part);
  /// @brief Whether prompts with a part have been answered lately.
  [[nodiscard]] bool answeredBefore(PromptPart Part) const;
  /// @brief Adds a crash to what is held against a part.
  static void add(Suspicion &Held, Instant When, TargetRun Ended,
                  CrashEvidence Evidence);
  /// @brief Whether what is held against a part reaches a number of crashes.
  [[nodiscard]] static bool
  reaches(const Suspicion &Held, std::size_t BegunCrashes, std::size_t Crashes);
  [[nodiscard]] bool refuses(Instant Now, PromptPart Part,
                             std::span<const PromptPart> Parts) const;
  /// @brief Whether a part that the request doesn't contain accounts for all
  /// crashes of a part that it contains.
  [[nodiscard]] bool explainedByOther(Instant Now, const Suspicion &Suspected,
                                      std::span<const PromptPart> Parts) const;

  std::map<PromptPart, Suspicion> Suspicions;
  std::map<PromptPart, Instant> ClearedUntil;
  /// Parts that were answered, the newer and the older half of the memory.
  std::set<PromptPart> Answered;
  std::set<PromptPart> AnsweredEarlier;
};

} // namespace goldcrestnotch::quarantine
