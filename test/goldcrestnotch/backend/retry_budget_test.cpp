/// @file
/// Shares of the bound on repeats.

#include "goldcrestnotch/backend/retry_budget.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::backend {
namespace {

constexpr Instant Start{Millis{100'000}};
const routing::ServiceId Desk{"desk"};

TEST(RetryBudget, SharesOfAllVmsStayWithinTheBound) {
  constexpr int Vms = 9;
  const RetryBudgetSettings Terms{0.2, 58, Millis{10'000}};
  int Retries = 0;
  for (int Vm = 0; Vm < Vms; ++Vm) {
    RetryBudget Share{Terms};
    Share.updateVmCount(Vms);
    for (int I = 0; I < 100; ++I) {
      Share.observeRequest(Start, Desk);
    }
    while (Share.allows(Start, Desk)) {
      Share.observeRetry(Start, Desk);
      ++Retries;
    }
  }
  EXPECT_GT(Retries, 0);
  EXPECT_LE(Retries, 0.2 * 900 + 58);
}

TEST(RetryBudget, RepeatsOfAnOldWindowAreForgotten) {
  RetryBudget Share{{0.0, 4, Millis{10'000}}};
  while (Share.allows(Start, Desk)) {
    Share.observeRetry(Start, Desk);
  }
  EXPECT_FALSE(Share.allows(Start + Millis{10'000}, Desk));
  EXPECT_TRUE(Share.allows(Start + Millis{10'001}, Desk));
}

TEST(RetryBudget, VmsThatVanishKeepTheirShare) {
  RetryBudget Share{{0.0, 18, Millis{10'000}}};
  Share.updateVmCount(9);
  Share.updateVmCount(1);
  Share.observeRetry(Start, Desk);
  EXPECT_FALSE(Share.allows(Start, Desk));
}

} // namespace
} // namespace goldcrestnotch::backend
