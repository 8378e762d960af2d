/// @file
/// Tests of when a copy of a partition is too old to decide by.

#include "goldcrestnotch/store/view_freshness.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::store {
namespace {

constexpr Instant Start{Millis{100'000}};
constexpr Millis MaxAge{2'000};

TEST(ViewFreshness, OldCopyServesWhileNobodyHasMore) {
  ViewFreshness View{MaxAge};
  View.observeOwn(Start, {0, 5});
  View.observeOther(Start - MaxAge, {0, 5});
  EXPECT_FALSE(View.outdated(Start + MaxAge * 10));
}

TEST(ViewFreshness, CopyIsOutdatedOnceAnotherVmHasMoreAndItsProofIsOld) {
  ViewFreshness View{MaxAge};
  View.observeOwn(Start, {0, 5});
  View.observeOther(Start + MaxAge / 2, {0, 6});
  EXPECT_FALSE(View.outdated(Start + MaxAge));
  EXPECT_TRUE(View.outdated(Start + MaxAge + Millis{1}));
}

TEST(ViewFreshness, AnotherVmProvesThatNothingIsMissing) {
  ViewFreshness View{MaxAge};
  View.observeOwn(Start, {0, 5});
  View.observeOther(Start + MaxAge, {0, 5});
  View.observeOther(Start + MaxAge + MaxAge / 2, {0, 6});
  EXPECT_FALSE(View.outdated(Start + MaxAge * 2));
  EXPECT_TRUE(View.outdated(Start + MaxAge * 2 + Millis{1}));
}

TEST(ViewFreshness, RecordsThatArriveAreProvenByTheVmThatHadThem) {
  ViewFreshness View{MaxAge};
  View.observeOwn(Start, {0, 5});
  View.observeOther(Start + MaxAge, {0, 6});
  View.observeOwn(Start, {0, 6});
  EXPECT_FALSE(View.behind());
  EXPECT_EQ(View.age(Start + MaxAge), Millis{0});
}

TEST(ViewFreshness, ReportThatArrivesLateTakesNothingBack) {
  ViewFreshness View{MaxAge};
  View.observeOwn(Start, {0, 5});
  View.observeOther(Start + MaxAge, {0, 7});
  View.observeOther(Start, {0, 6});
  View.observeOwn(Start, {0, 6});
  EXPECT_TRUE(View.behind());
}

// A VM that had taken records of a later era never counted as behind again.
TEST(ViewFreshness, OwnEndThatWasWrongIsCorrectedByTheNextOne) {
  ViewFreshness View{MaxAge};
  View.observeOwn(Start, {1'000, 5});
  View.observeOwn(Start, {1, 5});
  View.observeOther(Start + Millis{1}, {1, 6});
  EXPECT_TRUE(View.outdated(Start + MaxAge * 2));
}

TEST(ViewFreshness, WrongReportIsCorrectedByTheNextOne) {
  ViewFreshness View{MaxAge};
  View.observeOwn(Start, {0, 5});
  View.observeOther(Start + Millis{1}, {0, UINT64_MAX});
  EXPECT_TRUE(View.outdated(Start + MaxAge * 2));
  View.observeOther(Start + MaxAge, {0, 5});
  EXPECT_FALSE(View.outdated(Start + MaxAge * 2));
  EXPECT_FALSE(View.outdated(Start + MaxAge * 9));
}

TEST(ViewFreshness, OldCopyIsUsableOnlyWhileItIsConfirmed) {
  ViewFreshness View{MaxAge};
  View.observeOwn(Start, {0, 5});
  EXPECT_EQ(View.usableUntil(), Start + MaxAge);
  View.confirm(Start + MaxAge);
  EXPECT_EQ(View.usableUntil(), Start + MaxAge * 2);
  View.observeOther(Start + MaxAge, {0, 6});
  EXPECT_EQ(View.usableUntil(), Start + MaxAge);
}

} // namespace
} // namespace goldcrestnotch::store
