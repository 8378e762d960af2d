/// @file
/// Tests of how ledger records change the ledger state.

#include "goldcrestnotch/ledger/ledger_state.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

const PoolId BudgetPool{"budget/stall"};
const HolderId FirstHolder{VmId{"vm1"}, 1};
const HolderId SecondHolder{VmId{"vm2"}, 1};

/// Applies batches to a ledger state with consecutive offsets and sequence
/// numbers.
class LogWriter {
public:
  void append(const HolderId &Holder, std::vector<Item> Items) {
    State.apply(Offset++, LogTime{Millis{Clock}},
                Batch{Holder, ++Sequences[Holder], std::move(Items)});
  }
  void advance(Millis Span) { Clock += Span.count(); }

  LedgerState State;
  std::uint64_t Offset = 0;
  std::int64_t Clock = 0;
  std::map<HolderId, std::uint64_t> Sequences;
};

LogWriter fundedLog(std::int64_t Amount) {
  LogWriter Log;
  Log.append(FirstHolder,
             {Join{}, TopUp{BudgetPool, PlanId{"p1"}, Tokens{Amount}}});
  Log.append(SecondHolder, {Join{}});
  return Log;
}

TEST(LedgerState, GrantsNeverExceedTheBudget) {
  auto Log = fundedLog(100);
  Log.append(FirstHolder, {Draw{BudgetPool, Tokens{80}, Tokens{10}}});
  Log.append(SecondHolder, {Draw{BudgetPool, Tokens{80}, Tokens{10}}});
  const auto &Balance = *Log.State.find(BudgetPool);
  EXPECT_EQ(Balance.granted(FirstHolder), Tokens{80});
  EXPECT_EQ(Balance.granted(SecondHolder), Tokens{20});
  EXPECT_EQ(Balance.free(), Tokens{0});
}

TEST(LedgerState, DrawBelowItsMinimumWaitsForAReturn) {
  auto Log = fundedLog(100);
  Log.append(FirstHolder, {Draw{BudgetPool, Tokens{95}, Tokens{95}}});
  Log.append(SecondHolder, {Draw{BudgetPool, Tokens{10}, Tokens{10}}});
  EXPECT_EQ(Log.State.find(BudgetPool)->granted(SecondHolder), Tokens{0});
  Log.append(FirstHolder, {Return{BudgetPool, Tokens{50}}});
  EXPECT_EQ(Log.State.find(BudgetPool)->granted(SecondHolder), Tokens{10});
}

TEST(LedgerState, RepeatedBatchCountsOnce) {
  auto Log = fundedLog(100);
  const Batch DrawBatch{
      FirstHolder, 2, {Draw{BudgetPool, Tokens{30}, Tokens{1}}}};
  Log.State.apply(Log.Offset++, {}, DrawBatch);
  Log.State.apply(Log.Offset++, {}, DrawBatch);
  EXPECT_EQ(Log.State.find(BudgetPool)->granted(FirstHolder), Tokens{30});
  EXPECT_EQ(Log.State.counters().Repeated, 1U);
}

TEST(LedgerState, RepeatedTopUpCountsOnce) {
  auto Log = fundedLog(100);
  Log.append(SecondHolder, {TopUp{BudgetPool, PlanId{"p1"}, Tokens{100}}});
  EXPECT_EQ(Log.State.find(BudgetPool)->Total, Tokens{100});
}

TEST(LedgerState, RequestReportedByTwoHoldersIsBilledOnce) {
  auto Log = fundedLog(100);
  Log.append(FirstHolder, {Draw{BudgetPool, Tokens{50}, Tokens{1}}});
  Log.append(SecondHolder, {Draw{BudgetPool, Tokens{50}, Tokens{1}}});
  const RequestId Request{"r"};
  Log.append(FirstHolder, {Bill{BudgetPool, Request, Tokens{20}, true, {}}});
  Log.append(SecondHolder, {Bill{BudgetPool, Request, Tokens{25}, true, {}}});
  EXPECT_EQ(Log.State.find(BudgetPool)->Billed, Tokens{20});
  EXPECT_EQ(Log.State.find(BudgetPool)->granted(SecondHolder), Tokens{50});
}

TEST(LedgerState, DeadHoldersGrantStaysInDoubtUntilSettled) {
  auto Log = fundedLog(100);
  Log.append(FirstHolder, {Draw{BudgetPool, Tokens{60}, Tokens{1}}});
  const HolderId Successor{VmId{"vm1"}, 2};
  Log.append(Successor, {Join{}});
  EXPECT_EQ(Log.State.find(BudgetPool)->free(), Tokens{40});
  EXPECT_EQ(Log.State.unsettled().count(FirstHolder), 1U);
  Log.append(SecondHolder,
             {Bill{BudgetPool, RequestId{"r"}, Tokens{15}, false, FirstHolder},
              Settle{FirstHolder, false}});
  EXPECT_EQ(Log.State.find(BudgetPool)->Billed, Tokens{15});
  EXPECT_EQ(Log.State.find(BudgetPool)->free(), Tokens{85});
}

TEST(LedgerState, UnsettledGrantIsWrittenOff) {
  auto Log = fundedLog(100);
  Log.append(FirstHolder, {Draw{BudgetPool, Tokens{60}, Tokens{1}}});
  Log.append(SecondHolder, {Retire{FirstHolder}, Settle{FirstHolder, true}});
  EXPECT_EQ(Log.State.find(BudgetPool)->WrittenOff, Tokens{60});
  EXPECT_EQ(Log.State.find(BudgetPool)->free(), Tokens{40});
}

TEST(LedgerState, RetiredHolderIsRefused) {
  auto Log = fundedLog(100);
  Log.append(SecondHolder, {Retire{FirstHolder}});
  Log.append(FirstHolder, {Draw{BudgetPool, Tokens{10}, Tokens{1}}});
  EXPECT_TRUE(Log.State.retired(FirstHolder));
  EXPECT_EQ(Log.State.find(BudgetPool)->granted(FirstHolder), Tokens{0});
  EXPECT_EQ(Log.State.counters().Retired, 1U);
}

TEST(LedgerState, FirstClaimWins) {
  auto Log = fundedLog(100);
  const RequestId Key{"order"};
  Log.append(SecondHolder, {Claim{Key}});
  Log.append(FirstHolder, {Claim{Key}});
  EXPECT_EQ(Log.State.claim(Key)->Holder, SecondHolder);
}

TEST(LedgerState, OnlyTheClaimHolderRecordsTheOutcome) {
  auto Log = fundedLog(100);
  const RequestId Key{"order"};
  Log.append(SecondHolder, {Claim{Key}});
  Log.append(FirstHolder,
             {Outcome{Key, Verdict::Ran, 200, "", ""}, Release{Key}});
  ASSERT_NE(Log.State.claim(Key), nullptr);
  EXPECT_FALSE(Log.State.claim(Key)->End);
}

TEST(LedgerState, RestoredStateAppliesRecordsLikeTheOriginal) {
  auto Log = fundedLog(100);
  Log.append(FirstHolder,
             {Draw{BudgetPool, Tokens{60}, Tokens{1}}, Claim{RequestId{"o"}}});
  Log.append(FirstHolder,
             {Bill{BudgetPool, RequestId{"r"}, Tokens{5}, true, {}},
              Outcome{RequestId{"o"}, Verdict::Ran, 200, "t", "b"}});
  auto Restored = LedgerState::load(Log.State.save());
  EXPECT_EQ(Restored.save(), Log.State.save());
  const Batch NextBatch{FirstHolder, 4, {Return{BudgetPool, Tokens{1}}}};
  Restored.apply(Log.Offset, {}, NextBatch);
  Log.State.apply(Log.Offset, {}, NextBatch);
  EXPECT_EQ(Restored.save(), Log.State.save());
}

} // namespace
} // namespace goldcrestnotch
