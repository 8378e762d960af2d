/// @file
/// When callers come back for tokens.

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
  EXPECT_LT(retryAfter(Millis{2'000}, 0.1),
            retryAfter(Millis{2'000}, 0.9));
  EXPECT_LE(retryAfter(Millis{60'000}, 0.999), MaxRetryAfter);
}

/// @brief Callers refused through an outage, each coming back until it is over.
/// @return How often one is refused in vain, in the mean.
double refusals(Millis Outage, bool Adapts) {
  int Refused = 0;
  int Callers = 0;
  for (Millis First{700}; First < Outage; First += Millis{10}) {
    ++Callers;
    double Draw = 0.0;
    for (auto At = First; At < Outage;) {
      ++Refused;
      At += retryAfter(Adapts ? At : Millis{0}, Draw);
      Draw = Draw < 0.9 ? Draw + 0.3 : 0.0;
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
