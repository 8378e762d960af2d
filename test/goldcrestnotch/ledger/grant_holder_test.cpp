/// @file
/// Tests of how a holder admits requests, draws tokens and returns them.

#include "goldcrestnotch/ledger/grant_holder.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

const PoolId BudgetPool{"budget/stall"};
const HolderId OtherHolder{VmId{"vm2"}, 1};

/// A holder whose batches are applied to the ledger state at once.
class HolderFixture {
public:
  HolderFixture() { flush(); }

  void flush() {
    Out.expedite();
    while (const auto Record = Out.poll(Now)) {
      State.apply(Offset++, {}, *Record);
      Out.acknowledge(Record->Sequence);
    }
  }
  void append(const HolderId &Author, std::vector<Item> Items) {
    State.apply(Offset++, {},
                Batch{Author, ++Sequences[Author], std::move(Items)});
  }
  void fund(std::int64_t Amount) {
    append(OtherHolder,
           {Join{}, TopUp{BudgetPool, PlanId{"p"}, Tokens{Amount}}});
  }
  auto request(std::int64_t Bound, PoolCreation Creation = PoolCreation::None) {
    return Holder.request(Now, State, ++Ticket, BudgetPool, Tokens{Bound},
                          Creation);
  }
  auto poll() { return Holder.poll(Now, State); }

  Instant Now{Millis{1'000}};
  Outbox Out{HolderId{VmId{"vm1"}, 1}, Millis{0}};
  GrantHolder<DemandSizing> Holder{Out};
  LedgerState State;
  std::uint64_t Offset = 0;
  std::uint64_t Ticket = 0;
  std::map<HolderId, std::uint64_t> Sequences;
};

TEST(GrantHolder, AdmitsOnceItsDrawIsGranted) {
  HolderFixture Fixture;
  Fixture.fund(100);
  EXPECT_TRUE(Fixture.request(40).empty());
  Fixture.flush();
  const auto Decisions = Fixture.poll();
  ASSERT_EQ(Decisions.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<Admitted>(Decisions.front()));
}

TEST(GrantHolder, RefusesAtOnceWhatTheWholeBudgetCannotCover) {
  HolderFixture Fixture;
  Fixture.fund(100);
  const auto Decisions = Fixture.request(101);
  ASSERT_EQ(Decisions.size(), 1U);
  EXPECT_EQ(std::get<Refused>(Decisions.front()).Cause,
            RefusalCause::Exhausted);
}

TEST(GrantHolder, RefusesAtOnceIfNothingCreatesThePool) {
  HolderFixture Fixture;
  const auto Decisions = Fixture.request(40);
  ASSERT_EQ(Decisions.size(), 1U);
  EXPECT_EQ(std::get<Refused>(Decisions.front()).Cause, RefusalCause::Unknown);
}

TEST(GrantHolder, AdmitsOnceAPendingPoolIsCreated) {
  HolderFixture Fixture;
  EXPECT_TRUE(Fixture.request(40, PoolCreation::Pending).empty());
  Fixture.fund(100);
  EXPECT_TRUE(Fixture.poll().empty());
  Fixture.flush();
  const auto Decisions = Fixture.poll();
  ASSERT_EQ(Decisions.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<Admitted>(Decisions.front()));
}

TEST(GrantHolder, RefusesAsBusyIfAPendingPoolIsNotCreatedInTime) {
  HolderFixture Fixture;
  EXPECT_TRUE(Fixture.request(40, PoolCreation::Pending).empty());
  Fixture.Now += GrantHolderSettings{}.GrantTimeout;
  const auto Decisions = Fixture.poll();
  ASSERT_EQ(Decisions.size(), 1U);
  EXPECT_EQ(std::get<Refused>(Decisions.front()).Cause, RefusalCause::Busy);
}

TEST(GrantHolder, RefusesAsBusyAtItsDeadline) {
  HolderFixture Fixture;
  Fixture.fund(100);
  Fixture.append(OtherHolder, {Draw{BudgetPool, Tokens{90}, Tokens{90}}});
  EXPECT_TRUE(Fixture.request(50).empty());
  Fixture.flush();
  EXPECT_TRUE(Fixture.poll().empty());
  Fixture.Now += GrantHolderSettings{}.GrantTimeout;
  const auto Decisions = Fixture.poll();
  ASSERT_EQ(Decisions.size(), 1U);
  EXPECT_EQ(std::get<Refused>(Decisions.front()).Cause, RefusalCause::Busy);
}

TEST(GrantHolder, WithdrawsItsShortageWhenTheRequestIsGone) {
  HolderFixture Fixture;
  Fixture.fund(100);
  Fixture.append(OtherHolder, {Draw{BudgetPool, Tokens{90}, Tokens{90}}});
  (void)Fixture.request(50);
  Fixture.flush();
  ASSERT_EQ(Fixture.State.find(BudgetPool)->PendingDraws.size(), 1U);
  Fixture.Now += GrantHolderSettings{}.GrantTimeout;
  (void)Fixture.poll();
  Fixture.flush();
  EXPECT_TRUE(Fixture.State.find(BudgetPool)->PendingDraws.empty());
}

TEST(GrantHolder, FirstWaiterIsServedWhenNotAllCanBe) {
  HolderFixture Fixture;
  Fixture.fund(100);
  (void)Fixture.request(60);
  (void)Fixture.request(60);
  Fixture.flush();
  const auto Decisions = Fixture.poll();
  ASSERT_EQ(Decisions.size(), 1U);
  EXPECT_EQ(std::get<Admitted>(Decisions.front()).Ticket, 1U);
}

TEST(GrantHolder, WaitingRequestExpeditesADrawMadeAhead) {
  HolderFixture Fixture;
  Fixture.fund(1'000'000);
  (void)Fixture.request(100);
  Fixture.flush();
  (void)Fixture.poll();
  Fixture.Holder.settle(Fixture.Now, BudgetPool, Tokens{100}, Tokens{100},
                        RequestId{"r"}, false);
  Fixture.flush();
  (void)Fixture.poll(); // Draws ahead because of the observed spend.
  const auto Unsent = Fixture.Out.size();
  ASSERT_GT(Unsent, 0U);
  Fixture.Now += Millis{1};
  EXPECT_FALSE(Fixture.Out.poll(Fixture.Now));
  (void)Fixture.request(100);
  EXPECT_TRUE(Fixture.Out.poll(Fixture.Now));
}

TEST(GrantHolder, GivesBackWhatAnotherIsShortOf) {
  HolderFixture Fixture;
  Fixture.fund(100);
  (void)Fixture.request(80);
  Fixture.flush();
  (void)Fixture.poll();
  Fixture.Holder.settle(Fixture.Now, BudgetPool, Tokens{80}, Tokens{10},
                        RequestId{"r"}, false);
  Fixture.flush();
  Fixture.append(OtherHolder, {Draw{BudgetPool, Tokens{60}, Tokens{60}}});
  (void)Fixture.poll();
  Fixture.flush();
  EXPECT_EQ(Fixture.State.find(BudgetPool)->granted(OtherHolder), Tokens{60});
}

TEST(GrantHolder, BillsAtMostTheBound) {
  HolderFixture Fixture;
  Fixture.fund(100);
  (void)Fixture.request(40);
  Fixture.flush();
  (void)Fixture.poll();
  Fixture.Holder.settle(Fixture.Now, BudgetPool, Tokens{40}, Tokens{50},
                        RequestId{"r"}, false);
  Fixture.flush();
  EXPECT_EQ(Fixture.State.find(BudgetPool)->Billed, Tokens{40});
}

TEST(GrantHolder, UnreportedSpendIsNotAvailable) {
  HolderFixture Fixture;
  Fixture.fund(100);
  (void)Fixture.request(100);
  Fixture.flush();
  (void)Fixture.poll();
  Fixture.Holder.settle(Fixture.Now, BudgetPool, Tokens{100}, Tokens{30},
                        RequestId{"r"}, false);
  EXPECT_EQ(Fixture.Holder.available(Fixture.State, BudgetPool), Tokens{70});
}

} // namespace
} // namespace goldcrestnotch
