/// @file
/// Tests of how the outbox batches, repeats and defers items.

#include "goldcrestnotch/ledger/outbox.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

constexpr Instant Start{Millis{1'000}};
constexpr Millis Spacing{50};

/// An outbox whose initial `Join` is acknowledged.
class OutboxFixture {
public:
  OutboxFixture() {
    Out.acknowledge(Out.poll(Start)->Sequence);
    Now = Start + Spacing;
  }

  Outbox Out{HolderId{VmId{"vm1"}, 1}, Spacing};
  Instant Now;
};

TEST(Outbox, OneAppendIsUnderWayAtATime) {
  OutboxFixture Fixture;
  Fixture.Out.emplace(Claim{RequestId{"a"}});
  ASSERT_TRUE(Fixture.Out.poll(Fixture.Now));
  Fixture.Out.emplace(Claim{RequestId{"b"}});
  EXPECT_FALSE(Fixture.Out.poll(Fixture.Now + Spacing));
}

TEST(Outbox, UnansweredBatchIsRepeatedUnchanged) {
  OutboxFixture Fixture;
  Fixture.Out.emplace(Claim{RequestId{"a"}});
  const auto First = Fixture.Out.poll(Fixture.Now);
  Fixture.Out.emplace(Claim{RequestId{"b"}});
  Fixture.Out.fail(Fixture.Now, Spacing);
  const auto Second = Fixture.Out.poll(Fixture.Now + Spacing);
  EXPECT_EQ(encode(*First), encode(*Second));
}

TEST(Outbox, DeferredItemsWaitForMaxDeferral) {
  OutboxFixture Fixture;
  Fixture.Out.emplace(Return{PoolId{"p"}, Tokens{1}}, Urgency::Deferred);
  EXPECT_FALSE(Fixture.Out.poll(Fixture.Now));
  EXPECT_EQ(Fixture.Out.deadline(), Fixture.Now + Outbox::MaxDeferral);
  EXPECT_TRUE(Fixture.Out.poll(Fixture.Now + Outbox::MaxDeferral));
}

TEST(Outbox, ImmediateItemSendsDeferredItemsToo) {
  OutboxFixture Fixture;
  Fixture.Out.emplace(Return{PoolId{"p"}, Tokens{1}}, Urgency::Deferred);
  Fixture.Out.emplace(Claim{RequestId{"a"}});
  EXPECT_EQ(Fixture.Out.poll(Fixture.Now)->Items.size(), 2U);
}

} // namespace
} // namespace goldcrestnotch
