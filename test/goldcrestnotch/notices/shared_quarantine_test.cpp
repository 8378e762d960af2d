/// @file
/// Tests of what a VM tells the others over loopback when a target ends.

#include "goldcrestnotch/notices/shared_quarantine.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::notices {
namespace {

class SharedQuarantineTest : public testing::Test {
protected:
  SharedQuarantineTest() {
    Target.Name = TargetId{"i-1"};
    Target.Incarnation = 1;
    Socket.updatePeers({"127.0.0.2"});
    OtherSocket.start(
        [this](const Message &Content, const NoticeSocket::Endpoint &) {
          Received.push_back(std::get<CrashNotice>(Content));
        });
  }
  /// @brief Ends the target, and waits for what the other VM receives.
  void endTarget() {
    Quarantine.reportEnd(DecisionClock::now(), Target,
                         EndSign::RefusesConnections);
    Loop.run_for(Millis{100});
  }

  boost::asio::io_context Loop;
  Metrics Counters;
  NoticeSocket Socket{Loop, {"127.0.0.1", 0}, Counters};
  NoticeSocket OtherSocket{Loop, {"127.0.0.2", Socket.port()}, Counters};
  SharedQuarantine Quarantine{Socket, Counters};
  backend::Registration Target;
  std::vector<CrashNotice> Received;
};

// Each lost response was told in a datagram of its own.
TEST_F(SharedQuarantineTest, LostResponsesOfOneTargetAreToldTogether) {
  constexpr std::uint64_t Lost = MaxSuspects + 1;
  for (std::uint64_t I = 0; I < Lost; ++I) {
    (void)Quarantine.open(DecisionClock::now(), Target, {{I}, {}});
  }
  endTarget();
  ASSERT_EQ(Received.size(), 2U);
  EXPECT_EQ(Received[0].Suspects.size() + Received[1].Suspects.size(), Lost);
}

TEST_F(SharedQuarantineTest, OnlyTheRequestIsStrongEvidenceIfNoResponseBegan) {
  (void)Quarantine.open(DecisionClock::now(), Target, {{7}, {{1}, {2}}});
  endTarget();
  ASSERT_EQ(Received.size(), 2U);
  EXPECT_EQ(Received[0].Suspects, (SharedQuarantine::Suspects{{7}}));
  EXPECT_EQ(Received[0].Evidence, quarantine::CrashEvidence::Strong);
  EXPECT_EQ(Received[1].Suspects, (SharedQuarantine::Suspects{{1}, {2}}));
  EXPECT_EQ(Received[1].Evidence, quarantine::CrashEvidence::Weak);
}

} // namespace
} // namespace goldcrestnotch::notices
