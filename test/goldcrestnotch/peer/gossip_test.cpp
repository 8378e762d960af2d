/// @file
/// Tests of the protocol between VMs: authentication, and snapshots for peers
/// that lag behind.

#include "goldcrestnotch/peer/gossip.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

constexpr Instant Start{Millis{1'000}};

/// @brief Two connected VMs whose messages are delivered immediately.
class ConnectedPair {
public:
  explicit ConnectedPair(std::string SecondKey = "shared-key-0123456789")
      : Second{VmId{"vm2"}, std::move(SecondKey)} {
    deliver(First.open(1, "nonce-one"), false);
    deliver(Second.open(1, "nonce-two"), true);
    deliverPending();
  }

  void deliver(const std::vector<PeerAction> &Actions, bool ToFirst) {
    for (const auto &Action : Actions) {
      if (const auto *Sent = std::get_if<PeerSend>(&Action)) {
        (ToFirst ? PendingForFirst : PendingForSecond)
            .push_back(encode(Sent->Message));
      } else {
        OtherActions.push_back(Action);
      }
    }
  }

  void deliverPending() {
    while (!PendingForFirst.empty() || !PendingForSecond.empty()) {
      for (const auto &Bytes : std::exchange(PendingForSecond, {})) {
        deliver(Second.receive(Now, 1, Bytes), true);
      }
      for (const auto &Bytes : std::exchange(PendingForFirst, {})) {
        deliver(First.receive(Now, 1, Bytes), false);
      }
    }
  }

  Instant Now = Start;
  Gossip First{VmId{"vm1"}, "shared-key-0123456789"};
  Gossip Second;
  std::vector<std::string> PendingForFirst;
  std::vector<std::string> PendingForSecond;
  std::vector<PeerAction> OtherActions;
};

TEST(Gossip, PeersWithTheKeyProveThemselves) {
  const ConnectedPair Vms;
  EXPECT_TRUE(Vms.First.isAuthenticated(VmId{"vm2"}));
  EXPECT_TRUE(Vms.Second.isAuthenticated(VmId{"vm1"}));
}

TEST(Gossip, PeerWithAnotherKeyIsRejected) {
  const ConnectedPair Vms{"another-key-0123456789"};
  EXPECT_EQ(Vms.First.authenticatedCount(), 0U);
  EXPECT_FALSE(Vms.OtherActions.empty());
}

TEST(Gossip, BytesThatAreNoMessageAreRejected) {
  ConnectedPair Vms;
  const auto Actions = Vms.First.receive(Start, 1, "\xff\xfegarbage");
  ASSERT_EQ(Actions.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<PeerReject>(Actions.front()));
}

TEST(Gossip, SnapshotBeforeProofIsRejected) {
  Gossip Vm{VmId{"vm1"}, "shared-key-0123456789"};
  (void)Vm.open(1, "nonce");
  const auto Actions =
      Vm.receive(Start, 1, encode(PeerSnapshot{"config", "{}"}));
  EXPECT_TRUE(std::holds_alternative<PeerReject>(Actions.front()));
}

TEST(Gossip, PeerThatStaysBehindIsSentASnapshot) {
  ConnectedPair Vms;
  for (int I = 0; I < 3; ++I) {
    Vms.Now += Millis{500};
    Vms.deliver(Vms.First.broadcastDigest({10, 0}), false);
    Vms.deliver(Vms.Second.broadcastDigest({4, 0}), true);
    Vms.deliverPending();
  }
  ASSERT_FALSE(Vms.OtherActions.empty());
  EXPECT_EQ(std::get<PeerSendSnapshot>(Vms.OtherActions.front()).Stream,
            "config");
}

TEST(Gossip, PeerThatCatchesUpIsSentNoSnapshot) {
  ConnectedPair Vms;
  Vms.deliver(Vms.First.broadcastDigest({10, 0}), false);
  Vms.deliver(Vms.Second.broadcastDigest({4, 0}), true);
  Vms.deliverPending();
  for (int I = 0; I < 3; ++I) {
    Vms.Now += Millis{500};
    Vms.deliver(Vms.Second.broadcastDigest({10, 0}), true);
    Vms.deliverPending();
  }
  EXPECT_TRUE(Vms.OtherActions.empty());
}

} // namespace
} // namespace goldcrestnotch
