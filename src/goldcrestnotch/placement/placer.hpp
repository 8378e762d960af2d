/// @file
/// Chooses targets: healthy before failing, own failure domain first, the
/// prefix's usual target unless it is loaded above the others.

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

/// @brief What a request needs of a target.
struct PlacementRequest {
  RouteId On;
  VersionId Version;
  std::string Affinity;        ///< Equal prefixes have equal texts.
  std::set<TargetId> Excluded; ///< Tried before.
};

/// @brief How long a failing target is left alone: longer with each failure.
struct Backoff {
  std::uint32_t Tolerated = 1; ///< Failures in a row without a pause.
  Millis First{500};
  Millis Longest{15'000};

  [[nodiscard]] Millis pause(std::uint32_t Failures) const noexcept {
    static constexpr std::uint32_t MostDoublings = 10;
    if (Failures <= Tolerated) {
      return Millis{0};
    }
    const auto Doublings = std::min(Failures - Tolerated - 1, MostDoublings);
    return std::min(First * (1U << Doublings), Longest);
  }
};

/// @brief How loaded a target is, as one VM sees it.
struct TargetLoad {
  std::int64_t Used = 0; ///< Slots in use by this VM.
  std::int64_t Free = 0; ///< Slots this VM could use at once.
};

/// @brief Ranks targets for requests.
/// @tparam HealthPolicy When a failing target is tried again.
template <typename HealthPolicy> class Placer {
public:
  explicit Placer(DomainId Own, HealthPolicy Policy = {})
      : Own{std::move(Own)}, Policy{Policy} {}

  /// @brief Whether a target is paused for its failures.
  [[nodiscard]] bool paused(Instant Now, const TargetId &Name) const {
    const auto It = Records.find(Name);
    return It != Records.end() && Now < It->second.PauseDeadline;
  }

  /// @brief Targets fit for a request, the best first.
  /// @param LoadOf Gives the `TargetLoad` of a target.
  template <typename LoadOf>
  [[nodiscard]] std::vector<TargetId> rank(Instant Now, const Catalog &Source,
                                           const PlacementRequest &Wanted,
                                           LoadOf Load) const {
    std::vector<Scored> Fit;
    std::int64_t Used = 0;
    for (const auto &[Name, One] : Source.targets()) {
      if (!fits(Now, One, Wanted)) {
        continue;
      }
      const TargetLoad At = Load(Name);
      Used += At.Used;
      Fit.push_back({Name, One.Domain == Own, At,
                     rendezvous(Wanted.Affinity, Name.str())});
    }
    const auto Bound = Used * 5 /
                           (4 * std::max<std::int64_t>(
                                    static_cast<std::int64_t>(Fit.size()), 1)) +
                       1;
    std::sort(Fit.begin(), Fit.end(), [&](const Scored &A, const Scored &B) {
      return A.key(Bound) > B.key(Bound);
    });
    std::vector<TargetId> Result;
    Result.reserve(Fit.size());
    for (auto &One : Fit) {
      Result.push_back(std::move(One.Name));
    }
    return Result;
  }

  /// @brief A target answered as it should.
  void succeed(const TargetId &Name) { Records.erase(Name); }

  /// @brief A target failed or could not be reached.
  void fail(Instant Now, const TargetId &Name) {
    auto &At = Records[Name];
    ++At.Failures;
    At.PauseDeadline = Now + Policy.pause(At.Failures);
  }

  /// @brief A target says that it is leaving.
  void leave(const TargetId &Name) { Leaving.insert(Name); }
  /// @brief A target says that it takes work.
  void stay(const TargetId &Name) { Leaving.erase(Name); }

private:
  struct Record {
    std::uint32_t Failures = 0; ///< In a row.
    Instant PauseDeadline{};    ///< Until then it gets nothing.
  };

  struct Scored {
    TargetId Name;
    bool Near = false;
    TargetLoad Load;
    std::uint64_t Score = 0;

    /// @brief Orders targets: room, then bounded load, then distance, then
    /// affinity.
    [[nodiscard]] auto key(std::int64_t Bound) const {
      return std::make_tuple(Load.Free > 0, Load.Used < Bound, Near, Score);
    }
  };

  [[nodiscard]] bool fits(Instant Now, const Target &One,
                          const PlacementRequest &Wanted) const {
    return One.Serves == Wanted.On && One.Version == Wanted.Version &&
           !One.Leaving && !Leaving.contains(One.Name) &&
           !Wanted.Excluded.contains(One.Name) && !paused(Now, One.Name);
  }

  DomainId Own;
  HealthPolicy Policy;
  std::map<TargetId, Record> Records; ///< Targets whose last answer failed.
  std::set<TargetId> Leaving;
};

} // namespace goldcrestnotch
