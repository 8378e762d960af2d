/// @file
/// The fold of version moves.

#include "goldcrestnotch/rollout/move_table.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

const Move Given{MoveId{"m"}, RouteId{"chat"}, VersionId{"v1"}, VersionId{"v2"},
                 LogTime{Millis{100'000}}};

/// Appends records at chosen times.
class Writer {
public:
  Writer() { at(0, MoveBegin{Given}); }

  void at(std::int64_t Ms, const RolloutRecord &Record) {
    Fold.apply(Fold.next(), LogTime{Millis{Ms}}, Record);
  }
  void saw(std::int64_t Ms, VersionCounts New, const char *Vm = "vm1") {
    at(Ms, Evidence{Given.Name, HolderId{VmId{Vm}, 1}, {1'000, 0, 0}, New});
  }
  [[nodiscard]] const MoveState &state() const {
    return *Fold.find(Given.Name);
  }

  MoveTable Fold;
};

TEST(MoveTable, GoodMoveIsDoneBeforeItsDeadline) {
  Writer Log;
  for (std::int64_t Ms = 1'000; Ms <= 95'000; Ms += 1'000) {
    Log.saw(Ms, {static_cast<std::uint64_t>(Ms / 100), 0, 0});
  }
  EXPECT_EQ(Log.state().End, MoveOutcome::Completed);
  EXPECT_LT(Log.state().Ended, Given.Deadline);
}

TEST(MoveTable, MoveWithoutTrafficIsDoneToo) {
  Writer Log;
  for (std::int64_t Ms = 1'000; Ms <= 95'000; Ms += 1'000) {
    Log.at(Ms, MoveTick{});
  }
  EXPECT_EQ(Log.state().End, MoveOutcome::Completed);
}

TEST(MoveTable, RepeatedFailuresTakeItBack) {
  Writer Log;
  Log.saw(1'000, {1, 1, 0});
  EXPECT_EQ(Log.state().End, MoveOutcome::InProgress);
  Log.saw(1'100, {1, 1, 0}, "vm2");
  EXPECT_EQ(Log.state().End, MoveOutcome::RolledBack);
  EXPECT_EQ(Log.state().share(), 0U);
}

TEST(MoveTable, SlownessTakesItBack) {
  Writer Log;
  Log.saw(1'000, {3, 0, 3});
  EXPECT_EQ(Log.state().End, MoveOutcome::RolledBack);
}

TEST(MoveTable, RepeatedEvidenceCountsOnce) {
  Writer Log;
  Log.saw(1'000, {1, 1, 0});
  Log.saw(1'100, {1, 1, 0});
  EXPECT_EQ(Log.state().End, MoveOutcome::InProgress);
  EXPECT_EQ(Log.state().New.Failed, 1U);
}

TEST(MoveTable, DeadlineWithoutAnEndTakesItBack) {
  Writer Log;
  Log.at(150'000, MoveTick{});
  EXPECT_EQ(Log.state().End, MoveOutcome::RolledBack);
}

TEST(MoveTable, AnEndIsNeverChanged) {
  Writer Log;
  Log.saw(1'000, {4, 4, 0});
  const auto Saved = Log.Fold.find(Given.Name)->Ended;
  Log.saw(2'000, {1'000, 4, 0});
  Log.at(99'000, MoveTick{});
  EXPECT_EQ(Log.state().End, MoveOutcome::RolledBack);
  EXPECT_EQ(Log.state().Ended, Saved);
}

TEST(MoveTable, SecondMoveOfARouteWaitsForTheFirst) {
  Writer Log;
  auto Second = Given;
  Second.Name = MoveId{"second"};
  Log.at(10, MoveBegin{Second});
  EXPECT_EQ(Log.Fold.find(Second.Name), nullptr);
}

TEST(MoveTable, SavedStateGoesOnAsTheOriginal) {
  Writer Log;
  Log.saw(20'000, {30, 1, 0});
  auto Copy = MoveTable::load(Log.Fold.save());
  const RolloutRecord Next{
      Evidence{Given.Name, HolderId{VmId{"vm1"}, 1}, {}, {60, 2, 1}}};
  Copy.apply(Copy.next(), LogTime{Millis{40'000}}, Next);
  Log.at(40'000, Next);
  EXPECT_EQ(Copy.save(), Log.Fold.save());
}

} // namespace
} // namespace goldcrestnotch
