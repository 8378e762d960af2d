/// @file
/// Loans between VMs: slow answers, draws on demand, and what borrowers tell.

#include "goldcrestnotch/escrow/loans.hpp"

#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include "goldcrestnotch/kernel/await.hpp"

namespace goldcrestnotch::escrow {
namespace {

const WorkspaceId Stall{"stall"};
constexpr Tokens Budget{10'000};

/// @brief The parts of one VM that lend and borrow.
struct Vm {
  Vm(boost::asio::io_context &Loop, std::string Address)
      : Parts{HolderName{Address, "boot"}}, Near{Address},
        Budgets{Loop, Parts,
                [this](const WorkspaceId &) { Hurry ? Hurry() : void(); },
                [] { return true; }},
        Trade{Loop, Parts, Near, Budgets, Measured} {
    Parts.open(1);
    Trade.setBudgetLookup([](const WorkspaceId &) { return Budget; });
  }

  [[nodiscard]] TokenHolder &held() { return Parts.at(0).Held; }
  /// @brief Draws from the budget as a write to the store would.
  void draw(Tokens Bound) {
    held().requestTokens(DecisionClock::now(), Stall, Bound);
    const auto Next = held().propose(
        DecisionClock::now(), Parts.at(0).Known,
        [](const WorkspaceId &) { return Budget; }, {Stall}, 20,
        [](const WorkspaceId &) { return true; });
    held().sent(Next);
    EXPECT_TRUE(held().confirm(Next.Record.Sequence));
    Parts.at(0).Known.apply(++Offset, held().name(), Next.Record);
  }

  std::function<void()> Hurry;
  Metrics Measured;
  Shards Parts;
  roster::Homes Near;
  AdmissionGate Budgets;
  Loans Trade;
  std::uint64_t Offset = 0;
};

/// @brief A home and a VM that borrows from it.
struct Pair {
  explicit Pair(Millis Delay = {})
      : Home{Loop, "10.0.0.1"}, Other{Loop, "10.0.0.2"} {
    Link = std::make_unique<http::Server>(
        Loop, http::Endpoint{"127.0.0.1", 0}, http::Limits{},
        [this, Delay](http::Exchange &Talk) {
          boost::asio::steady_timer Timer{executorOf(Talk.yield())};
          Timer.expires_after(Delay);
          Timer.async_wait(Talk.yield());
          Home.Trade.serve(Talk);
        });
    Link->start();
    Other.Near.update(
        {{"10.0.0.1", "127.0.0.1:" + std::to_string(Link->port()), 12}}, 1);
  }

  template <typename Task> void run(Task What) {
    boost::asio::spawn(Loop, [this, What](boost::asio::yield_context Yield) {
      What(Yield);
      Loop.stop();
    });
    Loop.run();
    Loop.restart();
  }
  /// @brief The other VM borrows for one request.
  LoanEnd borrow(Tokens Bound) {
    auto End = LoanEnd::Nothing;
    run([&](boost::asio::yield_context Yield) {
      End = Other.Trade.borrow(Yield, Stall, Bound,
                               DecisionClock::now() + Millis{250});
    });
    return End;
  }
  [[nodiscard]] Totals totals() { return Home.Parts.at(0).Known.totals(Stall); }

  boost::asio::io_context Loop;
  Vm Home;
  Vm Other;
  std::unique_ptr<http::Server> Link;
};

TEST(Loans, SlowAnswerStillCounts) {
  Pair On{Millis{200}};
  On.Home.draw(Tokens{500});
  EXPECT_EQ(On.borrow(Tokens{300}), LoanEnd::Given);
  EXPECT_EQ(On.Other.held().available(Stall), Tokens{300});
}

TEST(Loans, HomeDrawsForAVmThatAsksMoreThanItHolds) {
  Pair On;
  On.Home.draw(Tokens{100});
  On.Home.Hurry = [&On] {
    boost::asio::post(On.Loop, [&On] {
      On.Home.draw(Tokens{2'000});
      On.Home.Budgets.notifyWaiters();
    });
  };
  EXPECT_EQ(On.borrow(Tokens{2'000}), LoanEnd::Given);
  EXPECT_GE(On.Other.held().available(Stall), Tokens{2'000});
}

TEST(Loans, HomeSaysThatTheBudgetIsSpent) {
  Pair On;
  On.Home.draw(Tokens{100});
  const auto Whole = Budget - Tokens{50};
  On.Home.draw(Whole);
  auto &Held = On.Home.held();
  const auto Now = DecisionClock::now();
  ASSERT_EQ(Held.reserve(Now, On.Home.Parts.at(0).Known, Stall, Budget, Whole),
            Admission::Admitted);
  Held.settle(Now, Stall, Whole, Whole);
  EXPECT_EQ(On.borrow(Tokens{100}), LoanEnd::Exhausted);
}

TEST(Loans, LentTokensAreNoProofOfASpentBudget) {
  Pair On;
  On.Home.draw(Budget);
  ASSERT_EQ(On.borrow(Budget), LoanEnd::Given);
  Vm Third{On.Loop, "10.0.0.3"};
  Third.Near.update(
      {{"10.0.0.1", "127.0.0.1:" + std::to_string(On.Link->port()), 12}}, 1);
  auto End = LoanEnd::Given;
  On.run([&](boost::asio::yield_context Yield) {
    End = Third.Trade.borrow(Yield, Stall, Tokens{100},
                             DecisionClock::now() + Millis{250});
  });
  EXPECT_EQ(End, LoanEnd::Nothing);
}

TEST(Loans, HomeLearnsWhatWasUsedAndGetsBackTheRest) {
  Pair On;
  On.Home.draw(Tokens{1'000});
  ASSERT_EQ(On.borrow(Tokens{1'000}), LoanEnd::Given);
  auto &Held = On.Other.held();
  const auto Now = DecisionClock::now();
  ASSERT_EQ(Held.reserve(Now, On.Other.Parts.at(0).Known, Stall, Budget,
                         Tokens{1'000}),
            Admission::Admitted);
  Held.settle(Now, Stall, Tokens{1'000}, Tokens{400});
  Held.startLeaving(); // Keeps nothing for requests to come.
  On.run([&](boost::asio::yield_context Yield) {
    On.Other.Trade.settleLoans(Yield);
  });
  EXPECT_EQ(Held.available(Stall), Tokens{});
  EXPECT_EQ(On.Home.held().available(Stall), Tokens{600});
  On.Home.draw(Tokens{1});
  EXPECT_EQ(On.totals().Spent, Tokens{400});
  EXPECT_EQ(On.totals().InDoubt, Tokens{});
}

TEST(Loans, WhatNobodyTakesBackIsKept) {
  Pair On;
  On.Home.draw(Tokens{1'000});
  ASSERT_EQ(On.borrow(Tokens{1'000}), LoanEnd::Given);
  On.Other.Near.update({{"10.0.0.1", "127.0.0.1:1", 12}}, 1);
  On.Other.held().startLeaving();
  On.run([&](boost::asio::yield_context Yield) {
    On.Other.Trade.settleLoans(Yield);
  });
  EXPECT_EQ(On.Other.held().available(Stall), Tokens{1'000});
}

} // namespace
} // namespace goldcrestnotch::escrow
