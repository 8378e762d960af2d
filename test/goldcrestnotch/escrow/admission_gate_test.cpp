/// @file
/// Tests that requests wait for tokens where waiting can help, and are refused
/// at once where it can't.

#include "goldcrestnotch/escrow/admission_gate.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::escrow {
namespace {

const WorkspaceId Workspace{"stall"};
constexpr Tokens Budget{1'000};
constexpr Millis Patience{200};

/// @brief A gate over holders without tokens.
struct EmptyGate {
  /// @param Joined Whether the VM has a record of its own in the partition.
  explicit EmptyGate(bool Joined = true, std::size_t Count = 4) {
    Partitions.open(Count);
    if (Joined) {
      auto &Part = Partitions.shardOf(Workspace);
      (void)Part.Holder.propose(
          DecisionClock::now(), Part.Table,
          [](const WorkspaceId &) { return Budget; }, {}, 1,
          [](const WorkspaceId &) { return true; });
    }
  }

  boost::asio::io_context Loop;
  Shards Partitions{HolderName{"a", "boot"}};
  bool StoreUp = true;
  AdmissionGate Gate{Loop, Partitions, [](const WorkspaceId &) {},
                     [this] { return StoreUp; }};

  /// @brief Sends a request and expects a refusal.
  /// @return How long the request waited before it was refused.
  [[nodiscard]] Millis refusedAfter() {
    const auto Begin = DecisionClock::now();
    auto Result = Admission::Admitted;
    boost::asio::spawn(Loop, [&](boost::asio::yield_context Yield) {
      Result =
          Gate.admit(Yield, Workspace, Budget, Tokens{100}, Begin + Patience);
    });
    Loop.run();
    EXPECT_EQ(Result, Admission::Short);
    return DecisionClock::now() - Begin;
  }

  /// @brief Applies a record of another VM that has drawn an amount.
  void drawByOtherVm(std::int64_t Drawn) {
    HolderRecord Record;
    Record.Accounts[Workspace].Drawn = Tokens{Drawn};
    Partitions.shardOf(Workspace).Table.apply({1, 1}, {"b", "boot"}, Record);
  }
};

TEST(AdmissionGate, WaitsWhileTheStoreCouldGiveEnough) {
  EmptyGate Fixture;
  EXPECT_GE(Fixture.refusedAfter(), Patience - Millis{1});
}

TEST(AdmissionGate, WaitsForTheFirstRecordOfAVmThatWillWriteOne) {
  EmptyGate Fixture{false, 1};
  EXPECT_GE(Fixture.refusedAfter(), Patience - Millis{1});
}

TEST(AdmissionGate, RefusesAtOnceWhatOthersHaveDrawn) {
  EmptyGate Fixture;
  Fixture.drawByOtherVm(950);
  EXPECT_LT(Fixture.refusedAfter(), Patience / 2);
}

TEST(AdmissionGate, RefusesAtOnceWhileTheStoreIsUnreachable) {
  EmptyGate Fixture;
  Fixture.StoreUp = false;
  EXPECT_LT(Fixture.refusedAfter(), Patience / 2);
}

TEST(AdmissionGate, RefusesAtOnceWhatOthersWillNotLend) {
  EmptyGate Fixture;
  Fixture.StoreUp = false;
  Fixture.Gate.setLoanSource([](boost::asio::yield_context, const WorkspaceId &,
                                Tokens,
                                Instant) { return LoanResult::Nothing; });
  EXPECT_LT(Fixture.refusedAfter(), Patience / 2);
}

TEST(AdmissionGate, VmThatCannotDrawRefusesAtOnceWhatHomesWillNotLend) {
  EmptyGate Fixture{false};
  Fixture.Gate.setLoanSource([](boost::asio::yield_context, const WorkspaceId &,
                                Tokens,
                                Instant) { return LoanResult::Nothing; });
  EXPECT_LT(Fixture.refusedAfter(), Patience / 2);
}

TEST(AdmissionGate, WaitsForALoanThatAnotherRequestAsksFor) {
  EmptyGate Fixture{false};
  Fixture.StoreUp = false;
  Fixture.Gate.setLoanSource([](boost::asio::yield_context, const WorkspaceId &,
                                Tokens, Instant) { return LoanResult::Busy; });
  EXPECT_GE(Fixture.refusedAfter(), Patience - Millis{1});
}

// Guards against a busy loop: each waiting request that tried to borrow woke
// the other one, which then tried again at once.
TEST(AdmissionGate, TwoRequestsThatNobodyLendsToDoNotWakeEachOtherForever) {
  EmptyGate Fixture;
  int Attempts = 0;
  Fixture.Gate.setLoanSource([&Attempts](boost::asio::yield_context,
                                         const WorkspaceId &, Tokens, Instant) {
    ++Attempts;
    return LoanResult::NotTried;
  });
  const auto Deadline = DecisionClock::now() + Patience;
  for (int I = 0; I < 2; ++I) {
    boost::asio::spawn(Fixture.Loop, [&](boost::asio::yield_context Yield) {
      EXPECT_EQ(
          Fixture.Gate.admit(Yield, Workspace, Budget, Tokens{100}, Deadline),
          Admission::Short);
    });
  }
  Fixture.Loop.run();
  EXPECT_LE(Attempts, 8);
}

TEST(AdmissionGate, LoanThatFindsTheBudgetSpentEndsTheRequest) {
  EmptyGate Fixture{false};
  Fixture.Gate.setLoanSource([](boost::asio::yield_context, const WorkspaceId &,
                                Tokens,
                                Instant) { return LoanResult::Exhausted; });
  boost::asio::spawn(Fixture.Loop, [&](boost::asio::yield_context Yield) {
    EXPECT_EQ(Fixture.Gate.admit(Yield, Workspace, Budget, Tokens{100},
                                 DecisionClock::now() + Patience),
              Admission::Exhausted);
  });
  Fixture.Loop.run();
}

} // namespace
} // namespace goldcrestnotch::escrow
