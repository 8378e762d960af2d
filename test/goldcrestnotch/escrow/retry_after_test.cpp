/// @file
/// Tests the retry delay of callers that were refused for lack of tokens.

#include "goldcrestnotch/escrow/retry_after.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::escrow {
namespace {

TEST(RetryAfter, SoonWhileTheStoreAnswers) {
  EXPECT_EQ(retryAfter(Millis{0}, 0.0), MinRetryAfter);
  EXPECT_LE(retryAfter(Millis{0}, 0.999), MinRetryAfter * 2);
}

TEST(RetryAfter, AsLongAgainAsAnOutageHasLasted) {
  EXPECT_EQ(retryAfter(Millis{1'500}, 0.0), Millis{1'500});
  EXPECT_EQ(retryAfter(Millis{60'000}, 0.0), MaxRetryAfter / 2);
}

TEST(RetryAfter, CallersOfAnOutageAreSpread) {
  EXPECT_LT(retryAfter(Millis{2'000}, 0.1), retryAfter(Millis{2'000}, 0.9));
  EXPECT_LE(retryAfter(Millis{60'000}, 0.999), MaxRetryAfter);
}

/// @brief Simulates callers that are refused during an outage of the store and
/// retry until it is over.
/// @param Adapts Whether the delay depends on how long the outage has lasted.
/// @return Mean number of refusals of a caller.
double refusals(Millis Outage, bool Adapts) {
  int Refused = 0;
  int Callers = 0;
  for (Millis First{700}; First < Outage; First += Millis{10}) {
    ++Callers;
    double Jitter = 0.0;
    for (auto Elapsed = First; Elapsed < Outage;) {
      ++Refused;
      Elapsed += retryAfter(Adapts ? Elapsed : Millis{0}, Jitter);
      Jitter = Jitter < 0.9 ? Jitter + 0.3 : 0.0;
    }
  }
  return static_cast<double>(Refused) / Callers;
}

TEST(RetryAfter, RefusesCallersOfAnOutageLessOften) {
  const Millis Outage{8'500};
  EXPECT_LT(refusals(Outage, true), refusals(Outage, false) / 3);
}

} // namespace
} // namespace goldcrestnotch::escrow
