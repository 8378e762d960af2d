/// @file
/// Remembers which requests the targets are at work on, so that the end of a
/// target tells which requests may have caused it.

#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/quarantine/crash_suspect.hpp"

namespace goldcrestnotch::quarantine {

/// @brief A request that a target had not answered when its run ended.
struct UnansweredRequest {
  TargetRun Run;
  RequestSuspects Suspects;
  bool Begun = false; ///< The head of the response had arrived.
  Instant Since{};    ///< When the request was sent, or the head arrived.
};

/// @brief The requests that this VM has sent and that are not known to have
/// been answered soundly. Does no I/O and reads no clock.
///
/// A target that crashes may fall silent, and callers leave before its end is
/// known. So a request whose response was lost is kept for a while.
class OpenAnswers {
public:
  using Key = std::uint64_t;

  /// How long a lost response is remembered. Targets that have crashed are
  /// back, or removed from the registry, before.
  static constexpr Millis LossMemory{30'000};
  /// Largest number of lost responses that are remembered.
  static constexpr std::size_t MaxLost = 4'096;

  /// @brief Records that a request was sent.
  [[nodiscard]] Key open(Instant Now, TargetRun Run, RequestSuspects Suspects);
  /// @brief Records that the head of the response has arrived.
  void begin(Instant Now, Key Request);
  /// @brief Forgets a request: the target is known to have survived it, or what
  /// has ended it is known already.
  void close(Key Request) { Requests.erase(Request); }
  /// @brief Records that no more of the response can arrive.
  void lose(Instant Now, Key Request);

  /// @brief Takes the requests out whose target has ended.
  /// @param OnlyBegun Takes only those whose responses had begun.
  [[nodiscard]] std::vector<UnansweredRequest> endRun(TargetRun Ended,
                                                      bool OnlyBegun);
  /// @brief Takes the requests out that were sent to earlier runs of a target.
  [[nodiscard]] std::vector<UnansweredRequest> startRun(TargetRun Started);
  /// @brief Forgets old losses.
  void expire(Instant Now);

  [[nodiscard]] std::size_t size() const noexcept { return Requests.size(); }

private:
  struct Entry {
    UnansweredRequest Request;
    Instant MemoryDeadline = Instant::max(); ///< Of a lost response.
  };

  template <typename Predicate>
  [[nodiscard]] std::vector<UnansweredRequest> take(Predicate Matches);

  Key LastKey = 0;
  std::size_t Lost = 0; ///< Lost since the last `expire`; an upper bound.
  std::map<Key, Entry> Requests;
};

} // namespace goldcrestnotch::quarantine
