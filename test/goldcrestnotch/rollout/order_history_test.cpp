/// @file
/// Tests of telling new move orders from those that a restored store contains
/// again.

#include "goldcrestnotch/rollout/order_history.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

TEST(OrderHistory, EachOrderOfAnEraIsNew) {
  OrderHistory History;
  EXPECT_TRUE(History.observe(1, "v2"));
  EXPECT_TRUE(History.observe(1, "v3"));
  EXPECT_TRUE(History.observe(1, "v3")) << "ordered a second time";
  EXPECT_TRUE(History.observe(1, "v2"));
}

TEST(OrderHistory, KnownOrderIsNotNewInARestoredStore) {
  OrderHistory History;
  (void)History.observe(1, "v2");
  EXPECT_FALSE(History.observe(2, "v2"));
  EXPECT_FALSE(History.observe(3, "v2"));
}

TEST(OrderHistory, EarlierOrderDoesNotReplaceTheLatestInARestoredStore) {
  OrderHistory History;
  (void)History.observe(1, "v2");
  (void)History.observe(1, "v3");
  EXPECT_FALSE(History.observe(2, "v2"));
  EXPECT_FALSE(History.observe(2, "v3"));
}

// An order right after a restore was ignored: its offset was not above that of
// the order before, which belonged to the era before.
TEST(OrderHistory, NewOrderInARestoredStoreIsNew) {
  OrderHistory History;
  (void)History.observe(1, "v2");
  EXPECT_TRUE(History.observe(2, "v3"));
  EXPECT_TRUE(History.observe(2, "v4")) << "the next one in the same era";
}

TEST(OrderHistory, OrderThatIsGivenAgainAfterItsReturnIsNew) {
  OrderHistory History;
  (void)History.observe(1, "v2");
  (void)History.observe(1, "v3");
  EXPECT_FALSE(History.observe(2, "v3"));
  EXPECT_TRUE(History.observe(2, "v2")) << "does not return behind a later one";
  EXPECT_TRUE(History.observe(2, "v3"));
}

TEST(OrderHistory, OrderOfAnEarlierEraIsNotNew) {
  OrderHistory History;
  (void)History.observe(2, "v2");
  EXPECT_FALSE(History.observe(1, "v1"));
}

TEST(OrderHistory, OrdersOfSeveralErasReturn) {
  OrderHistory History;
  (void)History.observe(1, "v2");
  (void)History.observe(2, "v3");
  EXPECT_FALSE(History.observe(3, "v2"));
  EXPECT_FALSE(History.observe(3, "v3"));
  EXPECT_TRUE(History.observe(3, "v4"));
}

TEST(OrderHistory, RemembersALimitedNumber) {
  OrderHistory History;
  for (std::size_t I = 0; I <= OrderHistory::MaxOrders; ++I) {
    EXPECT_TRUE(History.observe(1, std::to_string(I)));
  }
  EXPECT_TRUE(History.observe(2, "0")) << "too long ago to return";
  EXPECT_FALSE(History.observe(3, std::to_string(OrderHistory::MaxOrders)));
}

} // namespace
} // namespace goldcrestnotch
