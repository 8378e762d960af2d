/// @file
/// Waiting for tokens, and giving up at once where waiting can't help.

#include "goldcrestnotch/escrow/gate.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::escrow {
namespace {

const WorkspaceId Stall{"stall"};
constexpr Tokens Budget{1'000};
constexpr Millis Patience{200};

/// @brief A gate over a holder that holds nothing.
struct Bare {
  boost::asio::io_context Loop;
  Book Known;
  Holder Held{HolderName{"a", "boot"}};
  bool StoreUp = true;
  Gate Way{Loop, Known, Held, [] {}, [this] { return StoreUp; }};

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
    Known.apply(1, {"b", "boot"}, Other);
  }
};

TEST(Gate, WaitsWhileTheStoreCouldGiveEnough) {
  Bare On;
  EXPECT_GE(On.refusedAfter(), Patience - Millis{1});
}

TEST(Gate, RefusesAtOnceWhatOthersHaveTaken) {
  Bare On;
  On.othersDrew(950);
  EXPECT_LT(On.refusedAfter(), Patience / 2);
}

TEST(Gate, RefusesAtOnceWhileTheStoreIsAway) {
  Bare On;
  On.StoreUp = false;
  EXPECT_LT(On.refusedAfter(), Patience / 2);
}

TEST(Gate, RefusesAtOnceWhatOthersWillNotLend) {
  Bare On;
  On.StoreUp = false;
  On.Way.lendBy([](boost::asio::yield_context, const WorkspaceId &, Tokens,
                   Instant) { return false; });
  EXPECT_LT(On.refusedAfter(), Patience / 2);
}

} // namespace
} // namespace goldcrestnotch::escrow
