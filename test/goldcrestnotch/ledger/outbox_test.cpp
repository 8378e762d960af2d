/// @file
/// The outbox of a holder.

#include "goldcrestnotch/ledger/outbox.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

constexpr Instant Start{Millis{1'000}};
constexpr Millis Spacing{50};

/// A journal whose join is in the log.
class Bench {
public:
  Bench() {
    Out.acknowledge(Out.poll(Start)->Sequence);
    Now = Start + Spacing;
  }

  Outbox Out{HolderId{VmId{"vm1"}, 1}, Spacing};
  Instant Now;
};

TEST(Outbox, OneAppendIsUnderWayAtATime) {
  Bench On;
  On.Out.emplace(Claim{RequestId{"a"}});
  ASSERT_TRUE(On.Out.poll(On.Now));
  On.Out.emplace(Claim{RequestId{"b"}});
  EXPECT_FALSE(On.Out.poll(On.Now + Spacing));
}

TEST(Outbox, UnansweredBatchIsRepeatedAsItWas) {
  Bench On;
  On.Out.emplace(Claim{RequestId{"a"}});
  const auto First = On.Out.poll(On.Now);
  On.Out.emplace(Claim{RequestId{"b"}});
  On.Out.fail(On.Now, Spacing);
  const auto Second = On.Out.poll(On.Now + Spacing);
  EXPECT_EQ(encode(*First), encode(*Second));
}

TEST(Outbox, LazyItemsWaitForCompany) {
  Bench On;
  On.Out.emplace(Return{PoolId{"p"}, Tokens{1}}, Urgency::Lazy);
  EXPECT_FALSE(On.Out.poll(On.Now));
  EXPECT_EQ(On.Out.deadline(), On.Now + Outbox::LazyWait);
  EXPECT_TRUE(On.Out.poll(On.Now + Outbox::LazyWait));
}

TEST(Outbox, UrgentItemTakesLazyOnesAlong) {
  Bench On;
  On.Out.emplace(Return{PoolId{"p"}, Tokens{1}}, Urgency::Lazy);
  On.Out.emplace(Claim{RequestId{"a"}});
  EXPECT_EQ(On.Out.poll(On.Now)->Items.size(), 2U);
}

} // namespace
} // namespace goldcrestnotch
