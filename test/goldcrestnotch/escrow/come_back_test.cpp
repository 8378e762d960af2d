/// @file
/// When callers come back for tokens.

#include "goldcrestnotch/escrow/come_back.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::escrow {
namespace {

TEST(ComeBack, SoonWhileTheStoreAnswers) {
  EXPECT_EQ(comeBackAfter(Millis{0}, 0.0), ComeBackLeast);
  EXPECT_LE(comeBackAfter(Millis{0}, 0.999), ComeBackLeast * 2);
}

TEST(ComeBack, AsLongAgainAsAnOutageHasLasted) {
  EXPECT_EQ(comeBackAfter(Millis{1'500}, 0.0), Millis{1'500});
  EXPECT_EQ(comeBackAfter(Millis{60'000}, 0.0), ComeBackMost / 2);
}

TEST(ComeBack, CallersOfAnOutageAreSpread) {
  EXPECT_LT(comeBackAfter(Millis{2'000}, 0.1),
            comeBackAfter(Millis{2'000}, 0.9));
  EXPECT_LE(comeBackAfter(Millis{60'000}, 0.999), ComeBackMost);
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
      At += comeBackAfter(Adapts ? At : Millis{0}, Draw);
      Draw = Draw < 0.9 ? Draw + 0.3 : 0.0;
    }
  }
  return static_cast<double>(Refused) / Callers;
}

TEST(ComeBack, RefusesCallersOfAnOutageLessOften) {
  const Millis Outage{8'500};
  EXPECT_LT(refusals(Outage, true), refusals(Outage, false) / 3);
}

} // namespace
} // namespace goldcrestnotch::escrow
