/// @file
/// Tests the ranking of targets.

#include "goldcrestnotch/placement/placer.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

constexpr Instant Start{Millis{1'000}};
const PlacementRequest ChatRequest{
    RouteId{"chat"}, VersionId{"v1"}, "prefix", {}};

/// Three targets without load, all in the failure domain of the VM.
class PlacerFixture {
public:
  PlacerFixture() {
    Plan InitialPlan{PlanId{"p"}, "op", 0, {}};
    for (const auto *Name : {"a", "b", "c"}) {
      InitialPlan.Changes.emplace_back(Target{TargetId{Name},
                                              RouteId{"chat"},
                                              VersionId{"v1"},
                                              {"127.0.0.1", 1},
                                              DomainId{"near"},
                                              4,
                                              false,
                                              false});
    }
    Source.apply(0, {}, InitialPlan);
    Source.apply(1, {}, Confirmation{PlanId{"p"}, "op"});
    for (const auto *Name : {"a", "b", "c"}) {
      Loads[TargetId{Name}] = {0, 4};
    }
  }

  std::vector<TargetId> rank(const PlacementRequest &Request = ChatRequest) {
    return TargetPlacer.rank(
        Start, Source, Request,
        [this](const TargetId &Name) { return Loads[Name]; });
  }

  Catalog Source;
  Placer<> TargetPlacer{DomainId{"near"}};
  std::map<TargetId, TargetLoad> Loads;
};

TEST(Placer, EqualPrefixesGoToTheSameTarget) {
  PlacerFixture Fixture;
  EXPECT_EQ(Fixture.rank(), Fixture.rank());
}

TEST(Placer, FullTargetComesLast) {
  PlacerFixture Fixture;
  const auto Preferred = Fixture.rank().front();
  Fixture.Loads[Preferred] = {4, 0};
  EXPECT_EQ(Fixture.rank().back(), Preferred);
}

TEST(Placer, AffinityLosesToLoad) {
  PlacerFixture Fixture;
  const auto Preferred = Fixture.rank().front();
  Fixture.Loads[Preferred] = {3, 1};
  EXPECT_NE(Fixture.rank().front(), Preferred);
}

TEST(Placer, FailingTargetIsPausedAndTriedAgain) {
  PlacerFixture Fixture;
  const auto Preferred = Fixture.rank().front();
  Fixture.TargetPlacer.recordFailure(Start, Preferred);
  EXPECT_EQ(Fixture.rank().size(), 3U);
  Fixture.TargetPlacer.recordFailure(Start, Preferred);
  EXPECT_EQ(Fixture.rank().size(), 2U);
  EXPECT_FALSE(
      Fixture.TargetPlacer.paused(Start + Backoff{}.InitialPause, Preferred));
}

TEST(Placer, LeavingAndExcludedTargetsGetNothing) {
  PlacerFixture Fixture;
  Fixture.TargetPlacer.markLeaving(TargetId{"a"});
  auto Excluding = ChatRequest;
  Excluding.Excluded.insert(TargetId{"b"});
  EXPECT_EQ(Fixture.rank(Excluding), std::vector<TargetId>{TargetId{"c"}});
}

} // namespace
} // namespace goldcrestnotch
