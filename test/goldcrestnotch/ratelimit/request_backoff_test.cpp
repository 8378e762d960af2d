/// @file
/// Tests of the delay after a refused permit.

#include "goldcrestnotch/ratelimit/request_backoff.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::ratelimit {
namespace {

TEST(RequestBackoff, RequestsOfAllVmsGrowWithTheLimitAndNotWithTheFleet) {
  for (const std::size_t Vms : {9U, 300U}) {
    const auto Mean = requestBackoff(RequestRate{20}, Vms, 0.5);
    const double RequestsPerSecond =
        static_cast<double>(Vms) * 1'000 / static_cast<double>(Mean.count());
    EXPECT_NEAR(RequestsPerSecond, 20 * RequestsPerPermit, 1.0);
  }
}

TEST(RequestBackoff, IsBounded) {
  EXPECT_GT(requestBackoff(RequestRate{1e300}, 1, 0.0), Millis{0});
  EXPECT_LE(requestBackoff(RequestRate{1e-300}, 300, 0.9), Millis{60'000});
}

} // namespace
} // namespace goldcrestnotch::ratelimit
