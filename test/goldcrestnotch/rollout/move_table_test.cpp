/// @file
/// Tests of the decisions on version moves.

#include "goldcrestnotch/rollout/move_table.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

const Move Order{MoveId{"m"}, RouteId{"chat"}, VersionId{"v1"}, VersionId{"v2"},
                 LogTime{Millis{100'000}}};

/// @brief A table that gets records at chosen times of the log.
class TimedTable {
public:
  TimedTable() { applyAt(0, MoveBegin{Order}); }

  void applyAt(std::int64_t Ms, const RolloutRecord &Record) {
    Table.apply(Table.next(), LogTime{Millis{Ms}}, Record);
  }
  void report(std::int64_t Ms, VersionCounts New, const char *Vm = "vm1") {
    applyAt(Ms,
            Evidence{Order.Name, HolderId{VmId{Vm}, 1}, {1'000, 0, 0}, New});
  }
  [[nodiscard]] const MoveState &state() const {
    return *Table.find(Order.Name);
  }

  MoveTable Table;
};

TEST(MoveTable, GoodMoveIsCompletedBeforeItsDeadline) {
  TimedTable Timed;
  for (std::int64_t Ms = 1'000; Ms <= 95'000; Ms += 1'000) {
    Timed.report(Ms, {static_cast<std::uint64_t>(Ms / 100), 0, 0});
  }
  EXPECT_EQ(Timed.state().End, MoveOutcome::Completed);
  EXPECT_LT(Timed.state().Ended, Order.Deadline);
}

TEST(MoveTable, MoveWithoutTrafficIsCompleted) {
  TimedTable Timed;
  for (std::int64_t Ms = 1'000; Ms <= 95'000; Ms += 1'000) {
    Timed.applyAt(Ms, MoveTick{});
  }
  EXPECT_EQ(Timed.state().End, MoveOutcome::Completed);
}

TEST(MoveTable, RepeatedFailuresRollItBack) {
  TimedTable Timed;
  Timed.report(1'000, {1, 1, 0});
  EXPECT_EQ(Timed.state().End, MoveOutcome::InProgress);
  Timed.report(1'100, {1, 1, 0}, "vm2");
  EXPECT_EQ(Timed.state().End, MoveOutcome::RolledBack);
  EXPECT_EQ(Timed.state().share(), 0U);
}

TEST(MoveTable, SlownessRollsItBack) {
  TimedTable Timed;
  Timed.report(1'000, {3, 0, 3});
  EXPECT_EQ(Timed.state().End, MoveOutcome::RolledBack);
}

TEST(MoveTable, RepeatedEvidenceCountsOnce) {
  TimedTable Timed;
  Timed.report(1'000, {1, 1, 0});
  Timed.report(1'100, {1, 1, 0});
  EXPECT_EQ(Timed.state().End, MoveOutcome::InProgress);
  EXPECT_EQ(Timed.state().New.Failed, 1U);
}

TEST(MoveTable, MoveStillInProgressAtItsDeadlineIsRolledBack) {
  TimedTable Timed;
  Timed.applyAt(150'000, MoveTick{});
  EXPECT_EQ(Timed.state().End, MoveOutcome::RolledBack);
}

TEST(MoveTable, OutcomeIsFinal) {
  TimedTable Timed;
  Timed.report(1'000, {4, 4, 0});
  const auto FirstEnd = Timed.Table.find(Order.Name)->Ended;
  Timed.report(2'000, {1'000, 4, 0});
  Timed.applyAt(99'000, MoveTick{});
  EXPECT_EQ(Timed.state().End, MoveOutcome::RolledBack);
  EXPECT_EQ(Timed.state().Ended, FirstEnd);
}

TEST(MoveTable, SecondMoveOfARouteIsIgnoredDuringTheFirst) {
  TimedTable Timed;
  auto Second = Order;
  Second.Name = MoveId{"second"};
  Timed.applyAt(10, MoveBegin{Second});
  EXPECT_EQ(Timed.Table.find(Second.Name), nullptr);
}

TEST(MoveTable, LoadedTableContinuesLikeTheOriginal) {
  TimedTable Timed;
  Timed.report(20'000, {30, 1, 0});
  auto Loaded = MoveTable::load(Timed.Table.save());
  const RolloutRecord Report{
      Evidence{Order.Name, HolderId{VmId{"vm1"}, 1}, {}, {60, 2, 1}}};
  Loaded.apply(Loaded.next(), LogTime{Millis{40'000}}, Report);
  Timed.applyAt(40'000, Report);
  EXPECT_EQ(Loaded.save(), Timed.Table.save());
}

} // namespace
} // namespace goldcrestnotch
