/// @file
/// Ranking of targets.

#include "goldcrestnotch/placement/placer.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

constexpr Instant Start{Millis{1'000}};
const PlacementRequest Wanted{RouteId{"chat"}, VersionId{"v1"}, "prefix", {}};

class Bench {
public:
  Bench() {
    Plan Stated{PlanId{"p"}, "op", 0, {}};
    for (const auto *Name : {"a", "b", "c"}) {
      Stated.Changes.emplace_back(Target{TargetId{Name},
                                         RouteId{"chat"},
                                         VersionId{"v1"},
                                         {"127.0.0.1", 1},
                                         DomainId{"near"},
                                         4,
                                         false,
                                         false});
    }
    Source.apply(0, {}, Stated);
    Source.apply(1, {}, Confirmation{PlanId{"p"}, "op"});
    for (const auto *Name : {"a", "b", "c"}) {
      Loads[TargetId{Name}] = {0, 4};
    }
  }

  std::vector<TargetId> rank(const PlacementRequest &For = Wanted) {
    return Choice.rank(Start, Source, For,
                       [this](const TargetId &Name) { return Loads[Name]; });
  }

  Catalog Source;
  Placer<> Choice{DomainId{"near"}};
  std::map<TargetId, TargetLoad> Loads;
};

TEST(Placer, EqualPrefixesGoToTheSameTarget) {
  Bench On;
  EXPECT_EQ(On.rank(), On.rank());
}

TEST(Placer, FullTargetComesLast) {
  Bench On;
  const auto First = On.rank().front();
  On.Loads[First] = {4, 0};
  EXPECT_EQ(On.rank().back(), First);
}

TEST(Placer, AffinityLosesToLoad) {
  Bench On;
  const auto First = On.rank().front();
  On.Loads[First] = {3, 1};
  EXPECT_NE(On.rank().front(), First);
}

TEST(Placer, FailingTargetIsPausedAndTriedAgain) {
  Bench On;
  const auto First = On.rank().front();
  On.Choice.fail(Start, First);
  EXPECT_EQ(On.rank().size(), 3U);
  On.Choice.fail(Start, First);
  EXPECT_EQ(On.rank().size(), 2U);
  EXPECT_FALSE(On.Choice.paused(Start + Backoff{}.First, First));
}

TEST(Placer, LeavingAndExcludedTargetsGetNothing) {
  Bench On;
  On.Choice.leave(TargetId{"a"});
  auto Without = Wanted;
  Without.Excluded.insert(TargetId{"b"});
  EXPECT_EQ(On.rank(Without), std::vector<TargetId>{TargetId{"c"}});
}

} // namespace
} // namespace goldcrestnotch
