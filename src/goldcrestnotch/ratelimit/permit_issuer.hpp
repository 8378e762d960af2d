/// @file
/// Issues the permits to send requests to targets that state a rate limit. A
/// few VMs are issuers of each such target, and each of them issues its share
/// of the limit, so the sum stays within the limit without agreement.

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/core/request_rate.hpp"

namespace goldcrestnotch::ratelimit {

/// Number of VMs that issue permits of one target. The loss of one of them
/// leaves half of the limit until the others replace it.
inline constexpr std::size_t IssuersPerTarget = 2;

/// @brief The response to a request for a permit.
struct Permit {
  bool Granted = false;
  /// If granted, the delay before the request may be sent; else the time until
  /// an issuer could grant a permit.
  Millis Wait{0};
};

/// @brief One VM's schedules of permits, by target. No I/O, no clock.
///
/// Invariant: of one target, at most `MaxUnused` permits more than the rate
/// allows become usable within any span of time.
class PermitIssuer {
public:
  /// @brief Issues a permit if one becomes usable soon enough.
  /// @param TargetHash `hashOf` the target's name.
  /// @param Share This VM's share of the target's limit.
  /// @param MaxWait Longest delay that the requester accepts.
  [[nodiscard]] Permit issue(Instant Now, std::uint64_t TargetHash,
                             RequestRate Share, Millis MaxWait) {
    const Millis Spacing = spacing(Share);
    // An issuer that has just started may follow one that issued a permit a
    // moment ago.
    auto &[Next, LastSpacing] =
        Schedules.try_emplace(TargetHash, Schedule{Now + Spacing, Spacing})
            .first->second;
    if (Next > Now) {
      // A permit that was far off under an earlier limit comes sooner or later
      // under the present one.
      Next = Now + (Next - Now) * Spacing.count() / LastSpacing.count();
    }
    LastSpacing = Spacing;
    Next = std::max(Next, Now - Spacing * (MaxUnused - 1));
    const Millis Wait = std::max(Next - Now, Millis{0});
    if (Wait > MaxWait) {
      return {false, Wait};
    }
    Next += Spacing;
    return {true, Wait};
  }

  /// @brief Forgets the targets whose permits nobody has requested for a while.
  void expire(Instant Now) {
    std::erase_if(Schedules, [&](const auto &Entry) {
      return Entry.second.Next + RetentionTime < Now;
    });
  }

private:
  /// @brief The schedule of one target.
  struct Schedule {
    Instant Next; ///< When the next permit becomes usable.
    Millis
        Spacing; ///< Between two permits, under the limit that was last used.
  };

  /// Permits that a target's schedule accumulates while nobody requests any, so
  /// that irregular requests can use the whole limit.
  static constexpr int MaxUnused = 2;
  static constexpr Millis RetentionTime{60'000};
  /// Bounds the arithmetic for limits close to zero.
  static constexpr double MaxSpacingMs = 60'000;

  [[nodiscard]] static Millis spacing(RequestRate Share) noexcept {
    return Millis{static_cast<std::int64_t>(
        std::clamp(1'000 / Share.perSecond(), 1.0, MaxSpacingMs))};
  }

  std::map<std::uint64_t, Schedule> Schedules; ///< By the target's hash.
};

} // namespace goldcrestnotch::ratelimit
