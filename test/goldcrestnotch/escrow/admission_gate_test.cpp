/// @file
/// Waiting for tokens, and giving up at once where waiting can't help.

#include "goldcrestnotch/escrow/admission_gate.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::escrow {
namespace {

const WorkspaceId Stall{"stall"};
constexpr Tokens Budget{1'000};
constexpr Millis Patience{200};

/// @brief A gate over a holder that holds nothing.
struct Bare {
  /// @param Joined Whether the VM writes a record of its own.
  explicit Bare(bool Joined = true, std::size_t Partitions = 4) {
    Parts.open(Partitions);
    if (Joined) {
      auto &Part = Parts.of(Stall);
      (void)Part.Held.propose(
          DecisionClock::now(), Part.Known,
          [](const WorkspaceId &) { return Budget; }, {}, 1,
          [](const WorkspaceId &) { return true; });
    }
  }

  boost::asio::io_context Loop;
  Shards Parts{HolderName{"a", "boot"}};
  bool StoreUp = true;
  AdmissionGate Way{Loop, Parts, [](const WorkspaceId &) {},
                    [this] { return StoreUp; }};

  /// @brief How long a request waits before it is refused.
  [[nodiscard]] Millis refusedAfter() {
    const auto Begin = DecisionClock::now();
    auto Got = Admission::Admitted;
    boost::asio::spawn(Loop, [&](boost::asio::yield_context Yield) {
      Got = Way.admit(Yield, Stall, Budget, Tokens{100}, Begin + Patience);
    });
    Loop.run();
    EXPECT_EQ(Got, Admission::Short);
    return DecisionClock::now() - Begin;
  }

  void othersDrew(std::int64_t Drawn) {
    HolderRecord Other;
    Other.Accounts[Stall].Drawn = Tokens{Drawn};
    Parts.of(Stall).Known.apply(1, {"b", "boot"}, Other);
  }
};

TEST(AdmissionGate, WaitsWhileTheStoreCouldGiveEnough) {
  Bare On;
  EXPECT_GE(On.refusedAfter(), Patience - Millis{1});
}

TEST(AdmissionGate, WaitsForTheFirstRecordOfAVmThatWillWriteOne) {
  Bare On{false, 1};
  EXPECT_GE(On.refusedAfter(), Patience - Millis{1});
}

TEST(AdmissionGate, RefusesAtOnceWhatOthersHaveTaken) {
  Bare On;
  On.othersDrew(950);
  EXPECT_LT(On.refusedAfter(), Patience / 2);
}

TEST(AdmissionGate, RefusesAtOnceWhileTheStoreIsAway) {
  Bare On;
  On.StoreUp = false;
  EXPECT_LT(On.refusedAfter(), Patience / 2);
}

TEST(AdmissionGate, RefusesAtOnceWhatOthersWillNotLend) {
  Bare On;
  On.StoreUp = false;
  On.Way.setLoanSource([](boost::asio::yield_context, const WorkspaceId &,
                          Tokens, Instant) { return LoanEnd::Nothing; });
  EXPECT_LT(On.refusedAfter(), Patience / 2);
}

TEST(AdmissionGate, VmThatCannotDrawRefusesAtOnceWhatHomesWillNotLend) {
  Bare On{false};
  On.Way.setLoanSource([](boost::asio::yield_context, const WorkspaceId &,
                          Tokens, Instant) { return LoanEnd::Nothing; });
  EXPECT_LT(On.refusedAfter(), Patience / 2);
}

TEST(AdmissionGate, WaitsForALoanThatAnotherRequestAsksFor) {
  Bare On{false};
  On.StoreUp = false;
  On.Way.setLoanSource([](boost::asio::yield_context, const WorkspaceId &,
                          Tokens, Instant) { return LoanEnd::Busy; });
  EXPECT_GE(On.refusedAfter(), Patience - Millis{1});
}

TEST(AdmissionGate, TwoRequestsThatNobodyLendsToDoNotWakeEachOtherForever) {
  Bare On;
  int Asked = 0;
  On.Way.setLoanSource([&Asked](boost::asio::yield_context, const WorkspaceId &,
                                Tokens, Instant) {
    ++Asked;
    return LoanEnd::Vain;
  });
  const auto Until = DecisionClock::now() + Patience;
  for (int I = 0; I < 2; ++I) {
    boost::asio::spawn(On.Loop, [&](boost::asio::yield_context Yield) {
      EXPECT_EQ(On.Way.admit(Yield, Stall, Budget, Tokens{100}, Until),
                Admission::Short);
    });
  }
  On.Loop.run();
  EXPECT_LE(Asked, 8);
}

TEST(AdmissionGate, LoanThatFindsTheBudgetSpentEndsTheRequest) {
  Bare On{false};
  On.Way.setLoanSource([](boost::asio::yield_context, const WorkspaceId &,
                          Tokens, Instant) { return LoanEnd::Exhausted; });
  boost::asio::spawn(On.Loop, [&](boost::asio::yield_context Yield) {
    EXPECT_EQ(On.Way.admit(Yield, Stall, Budget, Tokens{100},
                           DecisionClock::now() + Patience),
              Admission::Exhausted);
  });
  On.Loop.run();
}

} // namespace
} // namespace goldcrestnotch::escrow
