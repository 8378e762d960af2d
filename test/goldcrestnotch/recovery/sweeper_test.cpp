/// @file
/// Decisions on dead holders.

#include "goldcrestnotch/recovery/sweeper.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

const PoolId Stall{"budget/stall"};
const HolderId Dead{VmId{"vm2"}, 1};
constexpr Instant Start{Millis{1'000}};

/// A book in which vm2 died with a grant; vm1 sweeps.
class Bench {
public:
  Bench() {
    Source.apply(0, LogTime{Millis{60'000}},
                 Batch{Dead,
                       1,
                       {Join{}, TopUp{Stall, PlanId{"p"}, Tokens{100}},
                        Draw{Stall, Tokens{50}, Tokens{50}}}});
    Source.apply(1, LogTime{Millis{61'000}},
                 Batch{HolderId{VmId{"vm2"}, 2}, 1, {Join{}}});
    Fleet.update(Start, {VmEntry{VmId{"vm1"}, DomainId{"d"}, {}, {}, false}});
    (void)Sweep.due(Start, Source, Fleet);
  }

  std::vector<Item> report(const SweepReport &Seen, Instant Now = Start) {
    return Sweep.report(Now, Source, Seen, [](const PoolId &) { return true; });
  }

  Book Source;
  MembershipView Fleet;
  Sweeper Sweep{VmId{"vm1"}, SweepTimes{Millis{10'000}, Millis{30'000}}};
};

TEST(Sweeper, BillsEndedStreamsThenSettles) {
  Bench On;
  const auto Items =
      On.report({Dead, true, {}, {{RequestId{"r"}, Stall, Tokens{7}, true}}});
  ASSERT_EQ(Items.size(), 2U);
  EXPECT_EQ(std::get<Bill>(Items[0]).Amount, Tokens{7});
  EXPECT_FALSE(std::get<Settle>(Items[1]).WriteOff);
}

TEST(Sweeper, WaitsForStreamsThatRun) {
  Bench On;
  EXPECT_TRUE(
      On.report({Dead, true, {}, {{RequestId{"r"}, Stall, Tokens{7}, false}}})
          .empty());
}

TEST(Sweeper, WaitsForAnEngineThatDoesNotAnswer) {
  Bench On;
  EXPECT_TRUE(On.report({Dead, false, {}, {}}).empty());
}

TEST(Sweeper, WritesOffAtTheLimit) {
  Bench On;
  const auto Items = On.report({Dead, false, {}, {}}, Start + Millis{30'000});
  ASSERT_EQ(Items.size(), 1U);
  EXPECT_TRUE(std::get<Settle>(Items[0]).WriteOff);
}

TEST(Sweeper, WritesOffWhatAnEngineForgotUnbilled) {
  Bench On;
  const auto Items = On.report({Dead, true, LogTime{Millis{90'000}}, {}});
  ASSERT_EQ(Items.size(), 1U);
  EXPECT_TRUE(std::get<Settle>(Items[0]).WriteOff);
}

TEST(Sweeper, RetiresAVmThatIsGoneLongEnough) {
  Bench On;
  EXPECT_TRUE(On.Sweep.retire(On.Source, On.Fleet).empty());
  const std::vector<VmEntry> List{
      VmEntry{VmId{"vm1"}, DomainId{"d"}, {}, {}, false}};
  On.Fleet.update(Start, List);
  On.Fleet.update(Start + Millis{10'000}, List);
  EXPECT_EQ(On.Sweep.retire(On.Source, On.Fleet).size(), 1U);
}

TEST(Sweeper, NoVmAgesWhileTheListCannotBeRead) {
  Bench On;
  (void)On.Sweep.retire(On.Source, On.Fleet);
  On.Fleet.fail();
  On.Fleet.update(Start + Millis{60'000},
                  {VmEntry{VmId{"vm1"}, DomainId{"d"}, {}, {}, false}});
  EXPECT_TRUE(On.Sweep.retire(On.Source, On.Fleet).empty());
}

} // namespace
} // namespace goldcrestnotch
