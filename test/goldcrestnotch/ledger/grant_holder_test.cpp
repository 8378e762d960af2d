/// @file
/// A holder's decisions on requests.

#include "goldcrestnotch/ledger/grant_holder.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

const PoolId Stall{"budget/stall"};
const HolderId Other{VmId{"vm2"}, 1};

/// A holder whose batches reach the log at once.
class Bench {
public:
  Bench() { flush(); }

  void flush() {
    Out.hurry();
    while (const auto Next = Out.poll(Now)) {
      Source.apply(Offset++, {}, *Next);
      Out.acknowledge(Next->Sequence);
    }
  }
  void append(const HolderId &Who, std::vector<Item> Items) {
    Source.apply(Offset++, {}, Batch{Who, ++Sequences[Who], std::move(Items)});
  }
  void fund(std::int64_t Amount) {
    append(Other, {Join{}, TopUp{Stall, PlanId{"p"}, Tokens{Amount}}});
  }
  auto request(std::int64_t Bound) {
    return Desk.request(Now, Source, ++Ticket, Stall, Tokens{Bound});
  }
  auto poll() { return Desk.poll(Now, Source); }

  Instant Now{Millis{1'000}};
  Outbox Out{HolderId{VmId{"vm1"}, 1}, Millis{0}};
  GrantHolder<DemandSizing> Desk{Out};
  LedgerState Source;
  std::uint64_t Offset = 0;
  std::uint64_t Ticket = 0;
  std::map<HolderId, std::uint64_t> Sequences;
};

TEST(GrantHolder, AdmitsOnceItsDrawIsGranted) {
  Bench On;
  On.fund(100);
  EXPECT_TRUE(On.request(40).empty());
  On.flush();
  const auto Some = On.poll();
  ASSERT_EQ(Some.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<Admitted>(Some.front()));
}

TEST(GrantHolder, RefusesAtOnceWhatTheWholeBudgetCannotCover) {
  Bench On;
  On.fund(100);
  const auto Some = On.request(101);
  ASSERT_EQ(Some.size(), 1U);
  EXPECT_EQ(std::get<Refused>(Some.front()).Cause, RefusalCause::Exhausted);
}

TEST(GrantHolder, RefusesAsBusyAtItsDeadline) {
  Bench On;
  On.fund(100);
  On.append(Other, {Draw{Stall, Tokens{90}, Tokens{90}}});
  EXPECT_TRUE(On.request(50).empty());
  On.flush();
  EXPECT_TRUE(On.poll().empty());
  On.Now += GrantHolderSettings{}.Wait;
  const auto Some = On.poll();
  ASSERT_EQ(Some.size(), 1U);
  EXPECT_EQ(std::get<Refused>(Some.front()).Cause, RefusalCause::Busy);
}

TEST(GrantHolder, WithdrawsItsShortageWhenTheRequestIsGone) {
  Bench On;
  On.fund(100);
  On.append(Other, {Draw{Stall, Tokens{90}, Tokens{90}}});
  (void)On.request(50);
  On.flush();
  ASSERT_EQ(On.Source.find(Stall)->Short.size(), 1U);
  On.Now += GrantHolderSettings{}.Wait;
  (void)On.poll();
  On.flush();
  EXPECT_TRUE(On.Source.find(Stall)->Short.empty());
}

TEST(GrantHolder, FirstWaiterIsServedThoughAllCannotBe) {
  Bench On;
  On.fund(100);
  (void)On.request(60);
  (void)On.request(60);
  On.flush();
  const auto Some = On.poll();
  ASSERT_EQ(Some.size(), 1U);
  EXPECT_EQ(std::get<Admitted>(Some.front()).Ticket, 1U);
}

TEST(GrantHolder, WaitingRequestHurriesADrawMadeAhead) {
  Bench On;
  On.fund(1'000'000);
  (void)On.request(100);
  On.flush();
  (void)On.poll();
  On.Desk.settle(On.Now, Stall, Tokens{100}, Tokens{100}, RequestId{"r"},
                 false);
  On.flush();
  (void)On.poll(); // Draws ahead for the demand it has seen.
  const auto Draws = On.Out.size();
  ASSERT_GT(Draws, 0U);
  On.Now += Millis{1};
  EXPECT_FALSE(On.Out.poll(On.Now));
  (void)On.request(100);
  EXPECT_TRUE(On.Out.poll(On.Now));
}

TEST(GrantHolder, GivesBackWhatAnotherIsShortOf) {
  Bench On;
  On.fund(100);
  (void)On.request(80);
  On.flush();
  (void)On.poll();
  On.Desk.settle(On.Now, Stall, Tokens{80}, Tokens{10}, RequestId{"r"}, false);
  On.flush();
  On.append(Other, {Draw{Stall, Tokens{60}, Tokens{60}}});
  (void)On.poll();
  On.flush();
  EXPECT_EQ(On.Source.find(Stall)->granted(Other), Tokens{60});
}

TEST(GrantHolder, BillsAtMostTheBound) {
  Bench On;
  On.fund(100);
  (void)On.request(40);
  On.flush();
  (void)On.poll();
  On.Desk.settle(On.Now, Stall, Tokens{40}, Tokens{50}, RequestId{"r"}, false);
  On.flush();
  EXPECT_EQ(On.Source.find(Stall)->Billed, Tokens{40});
}

TEST(GrantHolder, UnreportedSpendIsNotAvailable) {
  Bench On;
  On.fund(100);
  (void)On.request(100);
  On.flush();
  (void)On.poll();
  On.Desk.settle(On.Now, Stall, Tokens{100}, Tokens{30}, RequestId{"r"}, false);
  EXPECT_EQ(On.Desk.available(On.Source, Stall), Tokens{70});
}

} // namespace
} // namespace goldcrestnotch
