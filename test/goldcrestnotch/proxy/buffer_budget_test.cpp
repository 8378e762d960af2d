/// @file
/// Tests of the bound on the sum of buffered messages.

#include "goldcrestnotch/proxy/buffer_budget.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::proxy {
namespace {

constexpr std::size_t Large = 40'000;

TEST(BufferBudget, BoundsTheSumOfMessages) {
  BufferBudget Budget{100'000};
  BufferBudget::Share First{Budget};
  BufferBudget::Share Second{Budget};
  BufferBudget::Share Third{Budget};
  EXPECT_TRUE(First.resize(Large));
  EXPECT_TRUE(Second.resize(Large));
  EXPECT_FALSE(Third.resize(Large));
  EXPECT_EQ(Budget.used(), 2 * Large);
}

TEST(BufferBudget, AMessageGrowsWithinTheBudget) {
  BufferBudget Budget{100'000};
  BufferBudget::Share Message{Budget};
  EXPECT_TRUE(Message.resize(Large));
  EXPECT_TRUE(Message.resize(100'000));
  EXPECT_FALSE(Message.resize(100'001));
  EXPECT_EQ(Budget.used(), 100'000U);
}

TEST(BufferBudget, ShortMessagesAreHeldWhenItIsUsedUp) {
  BufferBudget Budget{Large};
  BufferBudget::Share Long{Budget};
  BufferBudget::Share Short{Budget};
  EXPECT_TRUE(Long.resize(Large));
  EXPECT_TRUE(Short.resize(BufferBudget::FreeBytes));
  EXPECT_FALSE(Short.resize(BufferBudget::FreeBytes + 1));
}

TEST(BufferBudget, AMessageThatEndsGivesItsShareBack) {
  BufferBudget Budget{Large};
  {
    BufferBudget::Share Message{Budget};
    EXPECT_TRUE(Message.resize(Large));
  }
  EXPECT_EQ(Budget.used(), 0U);
  BufferBudget::Share Next{Budget};
  EXPECT_TRUE(Next.resize(Large));
  EXPECT_TRUE(Next.resize(0));
  EXPECT_EQ(Budget.used(), 0U);
}

} // namespace
} // namespace goldcrestnotch::proxy
