/// @file
/// Tests of telling new move orders from those that a restored store contains
/// again.

#include "goldcrestnotch/rollout/order_history.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

class OrderHistoryTest : public testing::Test {
protected:
  /// @brief Reads an order while the operator may still restore others.
  [[nodiscard]] bool isNew(std::uint64_t Era, std::uint64_t Offset,
                           const char *Content) {
    return History.observe({Era, Offset}, Content, true);
  }
  /// @brief Reads an order when all lost ones have been written again.
  [[nodiscard]] bool isNewLater(std::uint64_t Era, std::uint64_t Offset,
                                const char *Content) {
    return History.observe({Era, Offset}, Content, false);
  }

  OrderHistory History;
};

TEST_F(OrderHistoryTest, EachOrderOfAnEraIsNew) {
  EXPECT_TRUE(isNew(1, 0, "v2"));
  EXPECT_TRUE(isNew(1, 1, "v3"));
  EXPECT_TRUE(isNew(1, 2, "v3")) << "ordered a second time";
  EXPECT_TRUE(isNew(1, 3, "v2"));
}

TEST_F(OrderHistoryTest, KnownOrderIsNotNewInARestoredStore) {
  (void)isNew(1, 7, "v2");
  EXPECT_FALSE(isNew(2, 3, "v2"));
  EXPECT_FALSE(isNew(3, 9, "v2"));
}

// An order right after a restore was ignored: its offset was not above that of
// the order before, which belonged to the era before.
TEST_F(OrderHistoryTest, NewOrderIsNewAtAnyOffset) {
  for (const std::uint64_t Offset : {3U, 7U, 9U}) {
    OrderHistory Own;
    (void)Own.observe({1, 7}, "v2", true);
    EXPECT_TRUE(Own.observe({2, Offset}, "v3", true)) << Offset;
    EXPECT_TRUE(Own.observe({2, Offset + 1}, "v4", true))
        << "the next one in the same era";
  }
}

TEST_F(OrderHistoryTest, EarlierOrdersReturnBeforeANewOne) {
  (void)isNew(1, 5, "v2");
  (void)isNew(1, 7, "v3");
  EXPECT_FALSE(isNew(2, 5, "v2"));
  EXPECT_FALSE(isNew(2, 6, "v3"));
  EXPECT_TRUE(isNew(2, 7, "v4"));
}

// The operator writes lost orders again while it gives new ones. A lost one
// that came behind a new one took its place, and the new one got no answer.
TEST_F(OrderHistoryTest, EarlierOrdersThatReturnBehindANewOneDoNotReplaceIt) {
  (void)isNew(1, 5, "v2");
  (void)isNew(1, 7, "v3");
  EXPECT_TRUE(isNew(2, 4, "v4"));
  EXPECT_FALSE(isNew(2, 5, "v3"));
  EXPECT_FALSE(isNew(2, 6, "v2"));
}

TEST_F(OrderHistoryTest, SameContentAfterItsReturnIsNew) {
  (void)isNew(1, 7, "v2");
  EXPECT_FALSE(isNew(2, 3, "v2"));
  EXPECT_TRUE(isNew(2, 4, "v2"));
}

TEST_F(OrderHistoryTest, SameContentThatWasOrderedTwiceReturnsAsOne) {
  (void)isNew(1, 6, "v2");
  (void)isNew(1, 7, "v2");
  EXPECT_FALSE(isNew(2, 3, "v2"));
  EXPECT_TRUE(isNew(2, 4, "v2"));
}

TEST_F(OrderHistoryTest, OrderOfTheCopyDoesNotStandForALostOne) {
  (void)isNew(1, 3, "v2");
  (void)isNew(1, 7, "v2");
  EXPECT_FALSE(isNew(2, 3, "v2")) << "from the copy";
  EXPECT_FALSE(isNew(2, 4, "v2")) << "written again";
  EXPECT_TRUE(isNew(2, 5, "v2"));
}

// A lost order can get its old offset again, as the last of several with the
// same content.
TEST_F(OrderHistoryTest, OrderAtItsOldOffsetStandsForThoseBeforeIt) {
  (void)isNew(1, 1, "v2");
  (void)isNew(1, 2, "v2");
  (void)isNew(1, 3, "v2");
  EXPECT_FALSE(isNew(2, 3, "v2"));
  EXPECT_TRUE(isNew(2, 4, "v2"));
}

TEST_F(OrderHistoryTest, KnownContentIsNewOnceAllLostOrdersAreBack) {
  (void)isNew(1, 7, "v2");
  EXPECT_TRUE(isNewLater(2, 8, "v2"));
}

TEST_F(OrderHistoryTest, OrderOfTheCopyIsNotNewHoweverLateItIsRead) {
  (void)isNew(1, 7, "v2");
  EXPECT_FALSE(isNewLater(2, 7, "v2"));
}

TEST_F(OrderHistoryTest, OrderOfAnEarlierEraIsNotNew) {
  (void)isNew(2, 3, "v2");
  EXPECT_FALSE(isNew(1, 9, "v1"));
}

TEST_F(OrderHistoryTest, OrdersOfSeveralErasReturn) {
  (void)isNew(1, 7, "v2");
  EXPECT_TRUE(isNew(2, 4, "v3"));
  EXPECT_FALSE(isNew(3, 3, "v2"));
  EXPECT_FALSE(isNew(3, 4, "v3"));
  EXPECT_TRUE(isNew(3, 5, "v4"));
  EXPECT_FALSE(isNew(4, 2, "v4"));
  EXPECT_TRUE(isNew(4, 3, "v5"));
}

TEST_F(OrderHistoryTest, RemembersALimitedNumber) {
  for (std::size_t I = 0; I <= OrderHistory::MaxOrders; ++I) {
    EXPECT_TRUE(isNew(1, I, std::to_string(I).c_str()));
  }
  EXPECT_TRUE(isNew(2, 1'000, "0")) << "too long ago to return";
  EXPECT_FALSE(
      isNew(3, 1'001, std::to_string(OrderHistory::MaxOrders).c_str()));
}

} // namespace
} // namespace goldcrestnotch
