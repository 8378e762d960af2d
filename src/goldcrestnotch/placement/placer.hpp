/// @file
/// Ranks the targets that can run a request: targets with a free slot first,
/// then targets whose load is at most 5/4 of the average, then targets of the
/// local failure domain, then the target that usually gets the request's
/// prefix. Targets that keep failing are left out for a time.

#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "goldcrestnotch/catalog/catalog.hpp"
#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/placement/fwd.hpp"

namespace goldcrestnotch {

/// @brief Requirements of a request on its target.
struct PlacementRequest {
  RouteId Route;
  VersionId Version;
  /// Affinity key: requests with the same key prefer the same target.
  std::string AffinityKey;
  std::set<TargetId> Excluded; ///< Targets already tried for this request.
};

/// @brief Health policy that pauses a failing target, with exponential backoff.
struct Backoff {
  /// Number of consecutive failures that cause no pause.
  std::uint32_t ToleratedFailures = 1;
  Millis InitialPause{500};
  Millis MaxPause{15'000};

  /// @param Failures Number of consecutive failures.
  [[nodiscard]] Millis pause(std::uint32_t Failures) const noexcept {
    static constexpr std::uint32_t MaxDoublings = 10;
    if (Failures <= ToleratedFailures) {
      return Millis{0};
    }
    const auto Doublings =
        std::min(Failures - ToleratedFailures - 1, MaxDoublings);
    return std::min(InitialPause * (1U << Doublings), MaxPause);
  }
};

/// @brief Load of a target, as far as this VM's ledger shows it.
struct TargetLoad {
  std::int64_t UsedSlots = 0; ///< Slots in use by this VM.
  std::int64_t FreeSlots = 0; ///< Slots that this VM could use at once.
};

/// @brief Ranks targets for requests and records their failures.
/// @tparam HealthPolicy Gives the pause of a target from its consecutive
/// failures.
template <typename HealthPolicy> class Placer {
public:
  /// @param LocalDomain The failure domain of this VM.
  explicit Placer(DomainId LocalDomain, HealthPolicy Policy = {})
      : LocalDomain{std::move(LocalDomain)}, Policy{Policy} {}

  /// @brief Whether a target is paused because of its failures.
  [[nodiscard]] bool paused(Instant Now, const TargetId &Name) const {
    const auto It = FailureRecords.find(Name);
    return It != FailureRecords.end() && Now < It->second.PauseDeadline;
  }

  /// @brief Returns the eligible targets of a request, the best first.
  /// @param Load Returns the `TargetLoad` of a target.
  template <typename LoadOf>
  [[nodiscard]] std::vector<TargetId> rank(Instant Now, const Catalog &Catalog,
                                           const PlacementRequest &Request,
                                           LoadOf Load) const {
    std::vector<Candidate> Candidates;
    std::int64_t TotalUsed = 0;
    for (const auto &[Name, Target] : Catalog.targets()) {
      if (!eligible(Now, Target, Request)) {
        continue;
      }
      const TargetLoad CurrentLoad = Load(Name);
      TotalUsed += CurrentLoad.UsedSlots;
      Candidates.push_back({Name, Target.Domain == LocalDomain, CurrentLoad,
                            rendezvous(Request.AffinityKey, Name.str())});
    }
    // Consistent hashing with bounded loads: affinity gives way at a target
    // that uses more than 5/4 of the average number of slots.
    const auto LoadBound =
        TotalUsed * 5 /
            (4 * std::max<std::int64_t>(
                     static_cast<std::int64_t>(Candidates.size()), 1)) +
        1;
    std::sort(Candidates.begin(), Candidates.end(),
              [&](const Candidate &A, const Candidate &B) {
                return A.sortKey(LoadBound) > B.sortKey(LoadBound);
              });
    std::vector<TargetId> Result;
    Result.reserve(Candidates.size());
    for (auto &Ranked : Candidates) {
      Result.push_back(std::move(Ranked.Name));
    }
    return Result;
  }

  /// @brief Records a good response; clears the failures of the target.
  void recordSuccess(const TargetId &Name) { FailureRecords.erase(Name); }

  /// @brief Records that a target failed or could not be reached.
  void recordFailure(Instant Now, const TargetId &Name) {
    auto &Entry = FailureRecords[Name];
    ++Entry.Failures;
    Entry.PauseDeadline = Now + Policy.pause(Entry.Failures);
  }

  /// @brief Records that a target reports that it leaves; it gets no
  /// requests.
  void markLeaving(const TargetId &Name) { Leaving.insert(Name); }
  /// @brief Records that a target reports that it accepts requests.
  void markAvailable(const TargetId &Name) { Leaving.erase(Name); }

private:
  struct FailureRecord {
    std::uint32_t Failures = 0; ///< Consecutive failures.
    Instant PauseDeadline{};    ///< Until then the target gets no requests.
  };

  struct Candidate {
    TargetId Name;
    bool Local = false;
    TargetLoad Load;
    /// Rendezvous hash of affinity key and target.
    std::uint64_t Affinity = 0;

    /// @brief Key of the ranking; the greatest key is the best target.
    [[nodiscard]] auto sortKey(std::int64_t LoadBound) const {
      return std::make_tuple(Load.FreeSlots > 0, Load.UsedSlots < LoadBound,
                             Local, Affinity);
    }
  };

  [[nodiscard]] bool eligible(Instant Now, const Target &Offered,
                              const PlacementRequest &Request) const {
    return Offered.Serves == Request.Route &&
           Offered.Version == Request.Version && !Offered.Leaving &&
           !Leaving.contains(Offered.Name) &&
           !Request.Excluded.contains(Offered.Name) &&
           !paused(Now, Offered.Name);
  }

  DomainId LocalDomain;
  HealthPolicy Policy;
  /// Holds the targets whose last request failed.
  std::map<TargetId, FailureRecord> FailureRecords;
  std::set<TargetId> Leaving; ///< Targets that report that they leave.
};

} // namespace goldcrestnotch
