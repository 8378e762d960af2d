/// @file
/// Tests of a VM's share of the retry budget.

#include "goldcrestnotch/backend/retry_budget.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::backend {
namespace {

constexpr Instant Start{Millis{100'000}};
const routing::ServiceId Desk{"desk"};

TEST(RetryBudget, SharesOfAllVmsStayWithinTheLimit) {
  constexpr int Vms = 9;
  const RetryBudgetSettings Settings{0.2, 58, Millis{10'000}};
  int Retries = 0;
  for (int Vm = 0; Vm < Vms; ++Vm) {
    RetryBudget Budget{Settings};
    Budget.updateVmCount(Vms);
    for (int I = 0; I < 100; ++I) {
      Budget.observeRequest(Start, Desk);
    }
    while (Budget.allows(Start, Desk)) {
      Budget.observeRetry(Start, Desk);
      ++Retries;
    }
  }
  EXPECT_GT(Retries, 0);
  EXPECT_LE(Retries, 0.2 * 900 + 58);
}

TEST(RetryBudget, RetriesOlderThanTheWindowDoNotCount) {
  RetryBudget Budget{{0.0, 4, Millis{10'000}}};
  while (Budget.allows(Start, Desk)) {
    Budget.observeRetry(Start, Desk);
  }
  EXPECT_FALSE(Budget.allows(Start + Millis{10'000}, Desk));
  EXPECT_TRUE(Budget.allows(Start + Millis{10'001}, Desk));
}

TEST(RetryBudget, LowerVmCountDoesNotRaiseTheShare) {
  RetryBudget Budget{{0.0, 18, Millis{10'000}}};
  Budget.updateVmCount(9);
  Budget.updateVmCount(1);
  Budget.observeRetry(Start, Desk);
  EXPECT_FALSE(Budget.allows(Start, Desk));
}

} // namespace
} // namespace goldcrestnotch::backend
