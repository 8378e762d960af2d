/// @file
/// Tests the decisions on dead holders.

#include "goldcrestnotch/recovery/sweeper.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

const PoolId BudgetPool{"budget/stall"};
const HolderId Dead{VmId{"vm2"}, 1};
constexpr Instant Start{Millis{1'000}};

/// A ledger in which vm2 has restarted while its earlier start held a grant,
/// and a sweeper on vm1.
class SweeperFixture {
public:
  SweeperFixture() {
    Ledger.apply(0, LogTime{Millis{60'000}},
                 Batch{Dead,
                       1,
                       {Join{}, TopUp{BudgetPool, PlanId{"p"}, Tokens{100}},
                        Draw{BudgetPool, Tokens{50}, Tokens{50}}}});
    Ledger.apply(1, LogTime{Millis{61'000}},
                 Batch{HolderId{VmId{"vm2"}, 2}, 1, {Join{}}});
    Members.update(Start, {VmEntry{VmId{"vm1"}, DomainId{"d"}, {}, {}, false}});
    (void)Sweep.dueHolders(Start, Ledger, Members);
  }

  std::vector<Item> settle(const SweepReport &Report, Instant Now = Start) {
    return Sweep.settle(Now, Ledger, Report,
                        [](const PoolId &) { return true; });
  }

  LedgerState Ledger;
  MembershipView Members;
  Sweeper Sweep{VmId{"vm1"}, SweepSettings{Millis{10'000}, Millis{30'000}}};
};

TEST(Sweeper, BillsEndedStreamsThenSettles) {
  SweeperFixture Fixture;
  const auto Items = Fixture.settle(
      {Dead, true, {}, {{RequestId{"r"}, BudgetPool, Tokens{7}, true}}});
  ASSERT_EQ(Items.size(), 2U);
  EXPECT_EQ(std::get<Bill>(Items[0]).Amount, Tokens{7});
  EXPECT_FALSE(std::get<Settle>(Items[1]).WriteOff);
}

TEST(Sweeper, WaitsForStreamsThatRun) {
  SweeperFixture Fixture;
  EXPECT_TRUE(Fixture
                  .settle({Dead,
                           true,
                           {},
                           {{RequestId{"r"}, BudgetPool, Tokens{7}, false}}})
                  .empty());
}

TEST(Sweeper, WaitsForAnEngineThatDoesNotAnswer) {
  SweeperFixture Fixture;
  EXPECT_TRUE(Fixture.settle({Dead, false, {}, {}}).empty());
}

TEST(Sweeper, WritesOffAtTheLimit) {
  SweeperFixture Fixture;
  const auto Items =
      Fixture.settle({Dead, false, {}, {}}, Start + Millis{30'000});
  ASSERT_EQ(Items.size(), 1U);
  EXPECT_TRUE(std::get<Settle>(Items[0]).WriteOff);
}

TEST(Sweeper, WritesOffWhatAnEngineForgotUnbilled) {
  SweeperFixture Fixture;
  const auto Items = Fixture.settle({Dead, true, LogTime{Millis{90'000}}, {}});
  ASSERT_EQ(Items.size(), 1U);
  EXPECT_TRUE(std::get<Settle>(Items[0]).WriteOff);
}

TEST(Sweeper, RetiresAVmThatIsGoneLongEnough) {
  SweeperFixture Fixture;
  EXPECT_TRUE(
      Fixture.Sweep.retireGoneHolders(Fixture.Ledger, Fixture.Members).empty());
  const std::vector<VmEntry> List{
      VmEntry{VmId{"vm1"}, DomainId{"d"}, {}, {}, false}};
  Fixture.Members.update(Start, List);
  Fixture.Members.update(Start + Millis{10'000}, List);
  EXPECT_EQ(
      Fixture.Sweep.retireGoneHolders(Fixture.Ledger, Fixture.Members).size(),
      1U);
}

TEST(Sweeper, NoVmAgesWhileTheListCannotBeRead) {
  SweeperFixture Fixture;
  (void)Fixture.Sweep.retireGoneHolders(Fixture.Ledger, Fixture.Members);
  Fixture.Members.recordFailure();
  Fixture.Members.update(Start + Millis{60'000},
                         {VmEntry{VmId{"vm1"}, DomainId{"d"}, {}, {}, false}});
  EXPECT_TRUE(
      Fixture.Sweep.retireGoneHolders(Fixture.Ledger, Fixture.Members).empty());
}

} // namespace
} // namespace goldcrestnotch
