/// @file
/// Tests loans between VMs: slow replies, draws on demand, and the reports of
/// borrowers.

#include "goldcrestnotch/escrow/loans.hpp"

#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include "goldcrestnotch/http/session.hpp"
#include "goldcrestnotch/kernel/await.hpp"

namespace goldcrestnotch::escrow {
namespace {

const WorkspaceId Workspace{"stall"};
constexpr Tokens Budget{10'000};

/// @brief The components of one VM that lend and borrow.
struct Vm {
  Vm(boost::asio::io_context &Loop, std::string Address)
      : Partitions{HolderName{Address, "boot"}},
        WorkspaceHomes{Address}, Gate{Loop, Partitions,
                                      [this](const WorkspaceId &) {
                                        OnWriteRequested ? OnWriteRequested()
                                                         : void();
                                      },
                                      [] { return true; }},
        Lending{Loop, Partitions, WorkspaceHomes, Gate, Counters} {
    Partitions.open(1);
    Lending.setBudgetLookup([](const WorkspaceId &) { return Budget; });
  }

  [[nodiscard]] TokenHolder &holder() { return Partitions.at(0).Holder; }
  /// @brief Draws from the budget as a write to the store would.
  void draw(Tokens Bound) {
    holder().requestTokens(DecisionClock::now(), Workspace, Bound);
    const auto Next = holder().propose(
        DecisionClock::now(), Partitions.at(0).Table,
        [](const WorkspaceId &) { return Budget; }, {Workspace}, 20,
        [](const WorkspaceId &) { return true; });
    holder().markSent(Next);
    EXPECT_TRUE(holder().confirm(Next.Record.Sequence));
    Partitions.at(0).Table.apply({1, ++Offset}, holder().name(), Next.Record);
  }

  std::function<void()> OnWriteRequested;
  Metrics Counters;
  Shards Partitions;
  roster::Homes<WorkspaceId> WorkspaceHomes;
  AdmissionGate Gate;
  Loans Lending;
  std::uint64_t Offset = 0;
};

/// @brief A home and a VM that borrows from it.
struct LenderAndBorrower {
  explicit LenderAndBorrower(Millis ReplyDelay = {})
      : Home{Loop, "10.0.0.1"}, Borrower{Loop, "10.0.0.2"} {
    Server = std::make_unique<http::Server>(
        Loop, http::Endpoint{"127.0.0.1", 0}, http::Limits{},
        [this, ReplyDelay](http::Exchange &Exchange) {
          boost::asio::steady_timer Timer{executorOf(Exchange.yield())};
          Timer.expires_after(ReplyDelay);
          Timer.async_wait(Exchange.yield());
          Home.Lending.serve(Exchange);
        });
    Server->start();
    Borrower.WorkspaceHomes.update(
        {{"10.0.0.1", "127.0.0.1:" + std::to_string(Server->port()), 12}}, 1);
  }

  template <typename Task> void run(Task Body) {
    boost::asio::spawn(Loop, [this, Body](boost::asio::yield_context Yield) {
      Body(Yield);
      Loop.stop();
    });
    Loop.run();
    Loop.restart();
  }
  /// @brief Lets the borrower borrow for one request.
  LoanResult borrow(Tokens Bound) {
    auto Result = LoanResult::Nothing;
    run([&](boost::asio::yield_context Yield) {
      Result = Borrower.Lending.borrow(Yield, Workspace, Bound,
                                       DecisionClock::now() + Millis{250});
    });
    return Result;
  }
  [[nodiscard]] Totals totals() {
    return Home.Partitions.at(0).Table.totals(Workspace);
  }

  boost::asio::io_context Loop;
  Vm Home;
  Vm Borrower;
  std::unique_ptr<http::Server> Server;
};

TEST(Loans, SlowReplyStillCounts) {
  LenderAndBorrower Fixture{Millis{200}};
  Fixture.Home.draw(Tokens{500});
  EXPECT_EQ(Fixture.borrow(Tokens{300}), LoanResult::Given);
  EXPECT_EQ(Fixture.Borrower.holder().available(Workspace), Tokens{300});
}

TEST(Loans, HomeDrawsForAVmThatAsksMoreThanItHolds) {
  LenderAndBorrower Fixture;
  Fixture.Home.draw(Tokens{100});
  Fixture.Home.OnWriteRequested = [&Fixture] {
    boost::asio::post(Fixture.Loop, [&Fixture] {
      Fixture.Home.draw(Tokens{2'000});
      Fixture.Home.Gate.notifyWaiters();
    });
  };
  EXPECT_EQ(Fixture.borrow(Tokens{2'000}), LoanResult::Given);
  EXPECT_GE(Fixture.Borrower.holder().available(Workspace), Tokens{2'000});
}

TEST(Loans, HomeRepliesThatTheBudgetIsSpent) {
  LenderAndBorrower Fixture;
  Fixture.Home.draw(Tokens{100});
  const auto MostOfBudget = Budget - Tokens{50};
  Fixture.Home.draw(MostOfBudget);
  auto &Holder = Fixture.Home.holder();
  const auto Now = DecisionClock::now();
  ASSERT_EQ(Holder.reserve(Now, Fixture.Home.Partitions.at(0).Table, Workspace,
                           Budget, MostOfBudget),
            Admission::Admitted);
  Holder.settle(Now, Workspace, MostOfBudget, MostOfBudget);
  EXPECT_EQ(Fixture.borrow(Tokens{100}), LoanResult::Exhausted);
}

TEST(Loans, LentTokensAreNoProofOfASpentBudget) {
  LenderAndBorrower Fixture;
  Fixture.Home.draw(Budget);
  ASSERT_EQ(Fixture.borrow(Budget), LoanResult::Given);
  Vm SecondBorrower{Fixture.Loop, "10.0.0.3"};
  SecondBorrower.WorkspaceHomes.update(
      {{"10.0.0.1", "127.0.0.1:" + std::to_string(Fixture.Server->port()), 12}},
      1);
  auto Result = LoanResult::Given;
  Fixture.run([&](boost::asio::yield_context Yield) {
    Result = SecondBorrower.Lending.borrow(Yield, Workspace, Tokens{100},
                                           DecisionClock::now() + Millis{250});
  });
  EXPECT_EQ(Result, LoanResult::Nothing);
}

TEST(Loans, HomeLearnsWhatWasUsedAndGetsBackTheRest) {
  LenderAndBorrower Fixture;
  Fixture.Home.draw(Tokens{1'000});
  ASSERT_EQ(Fixture.borrow(Tokens{1'000}), LoanResult::Given);
  auto &Holder = Fixture.Borrower.holder();
  const auto Now = DecisionClock::now();
  ASSERT_EQ(Holder.reserve(Now, Fixture.Borrower.Partitions.at(0).Table,
                           Workspace, Budget, Tokens{1'000}),
            Admission::Admitted);
  Holder.settle(Now, Workspace, Tokens{1'000}, Tokens{400});
  Holder.startLeaving(); // Makes it keep no tokens for future requests.
  Fixture.run([&](boost::asio::yield_context Yield) {
    Fixture.Borrower.Lending.settleLoans(Yield);
  });
  EXPECT_EQ(Holder.available(Workspace), Tokens{});
  EXPECT_EQ(Fixture.Home.holder().available(Workspace), Tokens{600});
  Fixture.Home.draw(Tokens{1});
  EXPECT_EQ(Fixture.totals().Spent, Tokens{400});
  EXPECT_EQ(Fixture.totals().InDoubt, Tokens{});
}

TEST(Loans, TokensThatNobodyTakesBackAreKept) {
  LenderAndBorrower Fixture;
  Fixture.Home.draw(Tokens{1'000});
  ASSERT_EQ(Fixture.borrow(Tokens{1'000}), LoanResult::Given);
  // Nothing listens at this address.
  Fixture.Borrower.WorkspaceHomes.update({{"10.0.0.1", "127.0.0.1:1", 12}}, 1);
  Fixture.Borrower.holder().startLeaving();
  Fixture.run([&](boost::asio::yield_context Yield) {
    Fixture.Borrower.Lending.settleLoans(Yield);
  });
  EXPECT_EQ(Fixture.Borrower.holder().available(Workspace), Tokens{1'000});
}

TEST(Loans, RequestThatExceedsTheBudgetGetsNothing) {
  LenderAndBorrower Fixture;
  Fixture.Home.draw(Tokens{500});
  const auto Held = Fixture.Home.holder().available(Workspace);
  EXPECT_EQ(Fixture.borrow(TooManyTokens), LoanResult::Exhausted);
  EXPECT_EQ(Fixture.Home.holder().available(Workspace), Held);
  EXPECT_EQ(Fixture.borrow(Tokens{300}), LoanResult::Given);
}

TEST(Loans, ImpossibleAmountsChangeNothing) {
  LenderAndBorrower Fixture;
  Fixture.Home.draw(Tokens{500});
  const auto Held = Fixture.Home.holder().available(Workspace);
  for (const std::string Fields :
       {"back=9223372036854775807", "used=9223372036854775807",
        "used=5&back=18446744073709551616", "back=-7", "used=x",
        "need=-1&tokens=5", "tokens=1e3"}) {
    Fixture.run([&](boost::asio::yield_context Yield) {
      http::Session Connection{Fixture.Loop,
                               {"127.0.0.1", Fixture.Server->port()}};
      http::Request Request;
      Request.Method = "POST";
      Request.Path = Loans::Path;
      Request.Query = "workspace=stall&" + Fields;
      const auto Deadline = DecisionClock::now() + Millis{1'000};
      EXPECT_EQ(Connection.send(Yield, Request, Deadline).Status, 400)
          << Fields;
    });
    EXPECT_EQ(Fixture.Home.holder().available(Workspace), Held) << Fields;
  }
}

// An amount above 64 bits was taken for all that was asked for.
TEST(Loans, ReplyThatCannotBeReadGivesNothing) {
  for (const std::string Reply :
       {"", "x", "5", "300 300", "99999999999999999999 0 0", "300x 9 0",
        "300 99999999999999999999 0", "-300 9 0", R"({"given":300})"}) {
    LenderAndBorrower Fixture;
    Fixture.Server = std::make_unique<http::Server>(
        Fixture.Loop, http::Endpoint{"127.0.0.1", 0}, http::Limits{},
        [&Reply](http::Exchange &Exchange) {
          http::Response Response;
          Response.Body = Reply;
          Exchange.reply(Response);
        });
    Fixture.Server->start();
    Fixture.Borrower.WorkspaceHomes.update(
        {{"10.0.0.1", "127.0.0.1:" + std::to_string(Fixture.Server->port()),
          12}},
        1);
    EXPECT_EQ(Fixture.borrow(Tokens{300}), LoanResult::Nothing) << Reply;
    EXPECT_EQ(Fixture.Borrower.holder().available(Workspace), Tokens{})
        << Reply;
  }
}

/// @brief A record that states an address to which no VM listens, as it is read
/// from the store.
std::optional<HolderRecord> recordWithAddress(const std::string &Text) {
  HolderRecord Source;
  Source.ControlAddress = Text;
  Source.Accounts[Workspace] = {Tokens{5'000}, Tokens{}, {}, {}, {}};
  return decodeRecord(encode(Source));
}

// The exception ended the request, and no later one of the workspace could
// borrow.
TEST(Loans, RecordWithATextThatIsNoAddressKeepsNobodyFromBorrowing) {
  for (const auto &Text : {std::string{"no address"}, std::string{},
                           std::string{"\xff:x"}, std::string{"127.0.0.1:"}}) {
    LenderAndBorrower Fixture;
    Fixture.Home.draw(Tokens{500});
    Fixture.Borrower.Partitions.at(0).Table.apply({1, 1}, {"10.0.0.9", "boot"},
                                                  recordWithAddress(Text));
    EXPECT_EQ(Fixture.borrow(Tokens{300}), LoanResult::Given) << Text;
    EXPECT_EQ(Fixture.Borrower.holder().available(Workspace), Tokens{300});
  }
}

TEST(Loans, TokensOfARecordWithATextThatIsNoAddressCountAsDrawn) {
  HolderTable Table;
  Table.apply({1, 1}, {"10.0.0.9", "boot"}, recordWithAddress("no address"));
  EXPECT_EQ(Table.totals(Workspace).Drawn, Tokens{5'000});
}

// The exception passed over what returns the tokens to their holder.
TEST(Loans, TokensStayWhenAHomeHasNoAddress) {
  LenderAndBorrower Fixture;
  Fixture.Home.draw(Tokens{1'000});
  ASSERT_EQ(Fixture.borrow(Tokens{1'000}), LoanResult::Given);
  Fixture.Borrower.WorkspaceHomes.update({{"10.0.0.1", "no address", 12}}, 1);
  auto &Holder = Fixture.Borrower.holder();
  Holder.startLeaving(); // Makes it keep no tokens for future requests.
  Fixture.run([&](boost::asio::yield_context Yield) {
    EXPECT_NO_THROW(Fixture.Borrower.Lending.settleLoans(Yield));
  });
  EXPECT_EQ(Holder.available(Workspace), Tokens{1'000});
}

} // namespace
} // namespace goldcrestnotch::escrow
