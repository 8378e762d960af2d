/// @file
/// Tests of the protocol between VMs: authentication, and snapshots for peers
/// that lag behind.

#include "goldcrestnotch/peer/gossip.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

constexpr Instant Start{Millis{1'000}};

/// @brief Two connected VMs whose messages are delivered immediately.
class Pair {
public:
  explicit Pair(std::string SecondKey = "shared-key-0123456789")
      : Second{VmId{"vm2"}, std::move(SecondKey)} {
    deliver(First.open(1, "nonce-one"), false);
    deliver(Second.open(1, "nonce-two"), true);
    pump();
  }

  void deliver(const std::vector<PeerAction> &Actions, bool ToFirst) {
    for (const auto &One : Actions) {
      if (const auto *Sent = std::get_if<PeerSend>(&One)) {
        (ToFirst ? IntoFirst : IntoSecond).push_back(encode(Sent->What));
      } else {
        Others.push_back(One);
      }
    }
  }

  void pump() {
    while (!IntoFirst.empty() || !IntoSecond.empty()) {
      for (const auto &Bytes : std::exchange(IntoSecond, {})) {
        deliver(Second.receive(Now, 1, Bytes), true);
      }
      for (const auto &Bytes : std::exchange(IntoFirst, {})) {
        deliver(First.receive(Now, 1, Bytes), false);
      }
    }
  }

  Instant Now = Start;
  Gossip First{VmId{"vm1"}, "shared-key-0123456789"};
  Gossip Second;
  std::vector<std::string> IntoFirst;
  std::vector<std::string> IntoSecond;
  std::vector<PeerAction> Others;
};

TEST(Gossip, PeersWithTheKeyProveThemselves) {
  const Pair Both;
  EXPECT_TRUE(Both.First.contains(VmId{"vm2"}));
  EXPECT_TRUE(Both.Second.contains(VmId{"vm1"}));
}

TEST(Gossip, PeerWithAnotherKeyIsRejected) {
  const Pair Both{"another-key-0123456789"};
  EXPECT_EQ(Both.First.size(), 0U);
  EXPECT_FALSE(Both.Others.empty());
}

TEST(Gossip, BytesThatAreNoMessageAreRejected) {
  Pair Both;
  const auto Actions = Both.First.receive(Start, 1, "\xff\xfegarbage");
  ASSERT_EQ(Actions.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<PeerReject>(Actions.front()));
}

TEST(Gossip, NothingIsTakenBeforeAProof) {
  Gossip Alone{VmId{"vm1"}, "shared-key-0123456789"};
  (void)Alone.open(1, "nonce");
  const auto Actions =
      Alone.receive(Start, 1, encode(PeerState{"config", "{}"}));
  EXPECT_TRUE(std::holds_alternative<PeerReject>(Actions.front()));
}

TEST(Gossip, PeerThatStaysBehindIsHelped) {
  Pair Both;
  for (int I = 0; I < 3; ++I) {
    Both.Now += Millis{500};
    Both.deliver(Both.First.tell({10, 0}), false);
    Both.deliver(Both.Second.tell({4, 0}), true);
    Both.pump();
  }
  ASSERT_FALSE(Both.Others.empty());
  EXPECT_EQ(std::get<PeerHelp>(Both.Others.front()).Stream, "config");
}

TEST(Gossip, PeerThatCatchesUpIsLeftAlone) {
  Pair Both;
  Both.deliver(Both.First.tell({10, 0}), false);
  Both.deliver(Both.Second.tell({4, 0}), true);
  Both.pump();
  for (int I = 0; I < 3; ++I) {
    Both.Now += Millis{500};
    Both.deliver(Both.Second.tell({10, 0}), true);
    Both.pump();
  }
  EXPECT_TRUE(Both.Others.empty());
}

} // namespace
} // namespace goldcrestnotch
