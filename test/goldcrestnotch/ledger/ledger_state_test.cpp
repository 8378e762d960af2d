/// @file
/// The rules of the ledger's fold.

#include "goldcrestnotch/ledger/ledger_state.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

const PoolId Stall{"budget/stall"};
const HolderId One{VmId{"vm1"}, 1};
const HolderId Two{VmId{"vm2"}, 1};

/// Appends batches with the right sequence numbers.
class Writer {
public:
  void append(const HolderId &Who, std::vector<Item> Items) {
    Target.apply(Offset++, LogTime{Millis{Clock}},
                 Batch{Who, ++Sequences[Who], std::move(Items)});
  }
  void advance(Millis Span) { Clock += Span.count(); }

  LedgerState Target;
  std::uint64_t Offset = 0;
  std::int64_t Clock = 0;
  std::map<HolderId, std::uint64_t> Sequences;
};

Writer funded(std::int64_t Amount) {
  Writer Log;
  Log.append(One, {Join{}, TopUp{Stall, PlanId{"p1"}, Tokens{Amount}}});
  Log.append(Two, {Join{}});
  return Log;
}

TEST(LedgerState, GrantsNeverExceedTheBudget) {
  auto Log = funded(100);
  Log.append(One, {Draw{Stall, Tokens{80}, Tokens{10}}});
  Log.append(Two, {Draw{Stall, Tokens{80}, Tokens{10}}});
  const auto &Pool = *Log.Target.find(Stall);
  EXPECT_EQ(Pool.granted(One), Tokens{80});
  EXPECT_EQ(Pool.granted(Two), Tokens{20});
  EXPECT_EQ(Pool.free(), Tokens{0});
}

TEST(LedgerState, DrawBelowItsFloorWaitsForAReturn) {
  auto Log = funded(100);
  Log.append(One, {Draw{Stall, Tokens{95}, Tokens{95}}});
  Log.append(Two, {Draw{Stall, Tokens{10}, Tokens{10}}});
  EXPECT_EQ(Log.Target.find(Stall)->granted(Two), Tokens{0});
  Log.append(One, {Return{Stall, Tokens{50}}});
  EXPECT_EQ(Log.Target.find(Stall)->granted(Two), Tokens{10});
}

TEST(LedgerState, RepeatedBatchCountsOnce) {
  auto Log = funded(100);
  const Batch Draws{One, 2, {Draw{Stall, Tokens{30}, Tokens{1}}}};
  Log.Target.apply(Log.Offset++, {}, Draws);
  Log.Target.apply(Log.Offset++, {}, Draws);
  EXPECT_EQ(Log.Target.find(Stall)->granted(One), Tokens{30});
  EXPECT_EQ(Log.Target.counters().Repeated, 1U);
}

TEST(LedgerState, RepeatedTopUpCountsOnce) {
  auto Log = funded(100);
  Log.append(Two, {TopUp{Stall, PlanId{"p1"}, Tokens{100}}});
  EXPECT_EQ(Log.Target.find(Stall)->Total, Tokens{100});
}

TEST(LedgerState, RequestIsBilledOnceWhoeverReportsIt) {
  auto Log = funded(100);
  Log.append(One, {Draw{Stall, Tokens{50}, Tokens{1}}});
  Log.append(Two, {Draw{Stall, Tokens{50}, Tokens{1}}});
  const RequestId Request{"r"};
  Log.append(One, {Bill{Stall, Request, Tokens{20}, true, {}}});
  Log.append(Two, {Bill{Stall, Request, Tokens{25}, true, {}}});
  EXPECT_EQ(Log.Target.find(Stall)->Billed, Tokens{20});
  EXPECT_EQ(Log.Target.find(Stall)->granted(Two), Tokens{50});
}

TEST(LedgerState, DeadHoldersGrantStaysInDoubtUntilSettled) {
  auto Log = funded(100);
  Log.append(One, {Draw{Stall, Tokens{60}, Tokens{1}}});
  const HolderId Newer{VmId{"vm1"}, 2};
  Log.append(Newer, {Join{}});
  EXPECT_EQ(Log.Target.find(Stall)->free(), Tokens{40});
  EXPECT_EQ(Log.Target.unsettled().count(One), 1U);
  Log.append(Two, {Bill{Stall, RequestId{"r"}, Tokens{15}, false, One},
                   Settle{One, false}});
  EXPECT_EQ(Log.Target.find(Stall)->Billed, Tokens{15});
  EXPECT_EQ(Log.Target.find(Stall)->free(), Tokens{85});
}

TEST(LedgerState, WhatCannotBeSettledIsWrittenOff) {
  auto Log = funded(100);
  Log.append(One, {Draw{Stall, Tokens{60}, Tokens{1}}});
  Log.append(Two, {Retire{One}, Settle{One, true}});
  EXPECT_EQ(Log.Target.find(Stall)->WrittenOff, Tokens{60});
  EXPECT_EQ(Log.Target.find(Stall)->free(), Tokens{40});
}

TEST(LedgerState, RetiredHolderIsRefused) {
  auto Log = funded(100);
  Log.append(Two, {Retire{One}});
  Log.append(One, {Draw{Stall, Tokens{10}, Tokens{1}}});
  EXPECT_TRUE(Log.Target.retired(One));
  EXPECT_EQ(Log.Target.find(Stall)->granted(One), Tokens{0});
  EXPECT_EQ(Log.Target.counters().Retired, 1U);
}

TEST(LedgerState, FirstClaimWins) {
  auto Log = funded(100);
  const RequestId Key{"order"};
  Log.append(Two, {Claim{Key}});
  Log.append(One, {Claim{Key}});
  EXPECT_EQ(Log.Target.claim(Key)->Holder, Two);
}

TEST(LedgerState, OnlyTheClaimsHolderEndsIt) {
  auto Log = funded(100);
  const RequestId Key{"order"};
  Log.append(Two, {Claim{Key}});
  Log.append(One, {Outcome{Key, Verdict::Ran, 200, "", ""}, Release{Key}});
  ASSERT_NE(Log.Target.claim(Key), nullptr);
  EXPECT_FALSE(Log.Target.claim(Key)->End);
}

TEST(LedgerState, SavedStateGoesOnAsTheOriginal) {
  auto Log = funded(100);
  Log.append(One, {Draw{Stall, Tokens{60}, Tokens{1}}, Claim{RequestId{"o"}}});
  Log.append(One, {Bill{Stall, RequestId{"r"}, Tokens{5}, true, {}},
                   Outcome{RequestId{"o"}, Verdict::Ran, 200, "t", "b"}});
  auto Copy = LedgerState::load(Log.Target.save());
  EXPECT_EQ(Copy.save(), Log.Target.save());
  const Batch Next{One, 4, {Return{Stall, Tokens{1}}}};
  Copy.apply(Log.Offset, {}, Next);
  Log.Target.apply(Log.Offset, {}, Next);
  EXPECT_EQ(Copy.save(), Log.Target.save());
}

} // namespace
} // namespace goldcrestnotch
