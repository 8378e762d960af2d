/// @file
/// Tests of the schedule by which one VM issues permits.

#include "goldcrestnotch/ratelimit/permit_issuer.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::ratelimit {
namespace {

constexpr Instant Start{Millis{100'000}};
constexpr std::uint64_t Target = 7;
constexpr RequestRate Share{2};

/// @brief Requests a permit every 10 ms.
int grantedWithin(PermitIssuer &Issuer, Instant Begin, Millis Duration) {
  int Granted = 0;
  for (auto Now = Begin; Now < Begin + Duration; Now += Millis{10}) {
    Granted += Issuer.issue(Now, Target, Share, Millis{0}).Granted ? 1 : 0;
  }
  return Granted;
}

TEST(PermitIssuer, IssuesTheRateAndNoMore) {
  PermitIssuer Issuer;
  EXPECT_EQ(grantedWithin(Issuer, Start, Millis{10'000}), 19);
}

TEST(PermitIssuer, AccumulatesLittleWhileNobodyAsks) {
  PermitIssuer Issuer;
  (void)Issuer.issue(Start, Target, Share, Millis{0});
  EXPECT_LE(grantedWithin(Issuer, Start + Millis{30'000}, Millis{400}), 2);
}

TEST(PermitIssuer, StatesTheDelayOfThePermit) {
  PermitIssuer Issuer;
  const auto Early = Issuer.issue(Start, Target, Share, Millis{100});
  EXPECT_FALSE(Early.Granted);
  EXPECT_EQ(Early.Wait, Millis{500});
  const auto First = Issuer.issue(Start, Target, Share, Millis{600});
  EXPECT_TRUE(First.Granted);
  EXPECT_EQ(First.Wait, Millis{500});
  EXPECT_EQ(Issuer.issue(Start, Target, Share, Millis{600}).Wait,
            Millis{1'000});
}

TEST(PermitIssuer, LimitThatRisesIsUsedAtOnce) {
  PermitIssuer Issuer;
  EXPECT_FALSE(
      Issuer.issue(Start, Target, RequestRate{0.05}, Millis{0}).Granted);
  EXPECT_LE(Issuer.issue(Start, Target, RequestRate{10}, Millis{0}).Wait,
            Millis{100});
}

TEST(PermitIssuer, LimitThatFallsHoldsAtOnce) {
  PermitIssuer Issuer;
  (void)Issuer.issue(Start, Target, RequestRate{10}, Millis{0});
  EXPECT_GE(Issuer.issue(Start, Target, RequestRate{0.5}, Millis{0}).Wait,
            Millis{1'900});
}

TEST(PermitIssuer, HasAScheduleForEachTarget) {
  PermitIssuer Issuer;
  EXPECT_TRUE(Issuer.issue(Start, Target, Share, Millis{500}).Granted);
  EXPECT_TRUE(Issuer.issue(Start, Target + 1, Share, Millis{500}).Granted);
}

TEST(PermitIssuer, BearsExtremeRates) {
  PermitIssuer Issuer;
  EXPECT_FALSE(
      Issuer.issue(Start, Target, RequestRate{1e-300}, Millis{0}).Granted);
  EXPECT_TRUE(
      Issuer.issue(Start, Target + 1, RequestRate{1e300}, Millis{1}).Granted);
}

} // namespace
} // namespace goldcrestnotch::ratelimit
