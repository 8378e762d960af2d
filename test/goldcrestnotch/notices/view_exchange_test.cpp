/// @file
/// Tests of how VMs tell each other over loopback how far they have read.

#include "goldcrestnotch/notices/view_exchange.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::notices {
namespace {

constexpr Millis MaxAge{2'000};
const TargetId Left{"i-1"};

/// @brief One VM with one target in its set.
struct Vm {
  Vm(boost::asio::io_context &Loop, const std::string &Address,
     std::uint16_t Port)
      : Targets{DomainId{"near"}}, Socket{Loop, {Address, Port}, Counters},
        Views{Socket,
              Targets,
              {[this] { return Operator; }, [this] { return TargetList; },
               [this](store::Position Position) {
                 return Position < TargetList.End ? Departed
                                                  : DepartedTargets{};
               },
               [](const TargetId &) {}},
              MaxAge,
              MaxAge} {
    backend::Registration Entry;
    Entry.Name = Left;
    Entry.Service = backend::ServiceId{"engines"};
    Entry.Endpoint = {"127.0.0.1", 1};
    Targets.apply(Entry);
    Socket.start([this](const Message &Content,
                        const NoticeSocket::Endpoint &From) {
      const auto Now = DecisionClock::now();
      if (const auto *Request = std::get_if<ViewRequest>(&Content)) {
        Views.handle(Now, *Request, From);
      } else if (const auto *Response = std::get_if<ViewResponse>(&Content)) {
        Views.handle(Now, *Response);
      }
    });
  }

  OwnView Operator;
  OwnView TargetList;
  DepartedTargets Departed;
  Metrics Counters;
  backend::TargetSet Targets;
  NoticeSocket Socket;
  ViewExchange Views;
};

class ViewExchangeTest : public testing::Test {
protected:
  ViewExchangeTest() {
    Slow.Socket.updatePeers({"127.0.0.2"});
    const auto Now = DecisionClock::now();
    Slow.Operator = Slow.TargetList = {Now - MaxAge * 2, {0, 5}};
    Current.Operator = Current.TargetList = {Now, {0, 5}};
  }

  void askOthers() {
    Slow.Views.maintain(DecisionClock::now(), [] { return 0.5; });
    Loop.run_for(Millis{50});
  }
  [[nodiscard]] bool outdated() {
    return Slow.Views.outdated(DecisionClock::now());
  }

  boost::asio::io_context Loop;
  Vm Current{Loop, "127.0.0.2", 0};
  Vm Slow{Loop, "127.0.0.1", Current.Socket.port()};
};

TEST_F(ViewExchangeTest, ViewIsCurrentIfAnotherVmHasNothingNewer) {
  askOthers();
  EXPECT_FALSE(outdated());
  Current.Operator.End.Offset = 6; // A record that is newer than the proof.
  askOthers();
  EXPECT_FALSE(outdated());
}

TEST_F(ViewExchangeTest, ViewIsOutdatedIfAnotherVmHasANewerConfiguration) {
  Current.Operator.End.Offset = 6;
  askOthers();
  EXPECT_TRUE(outdated());
  Slow.Operator.End.Offset = 6;
  EXPECT_FALSE(outdated());
}

TEST_F(ViewExchangeTest, TargetThatLeftIsLearnedFromAnotherVm) {
  Current.TargetList.End.Offset = 6;
  Current.Departed.Leaving = {Left};
  askOthers();
  EXPECT_TRUE(Slow.Targets.find(Left)->leaving());
  EXPECT_FALSE(outdated());
}

TEST_F(ViewExchangeTest, MoreTargetsThanAMessageHoldsProveNothing) {
  Current.TargetList.End.Offset = 100;
  Current.Departed.Leaving.assign(MaxTargets + 1, Left);
  askOthers();
  EXPECT_TRUE(outdated());
}

TEST_F(ViewExchangeTest, VmThatKnowsNoMoreMakesNothingOutdated) {
  Current.Operator = Slow.Operator;
  Current.TargetList = Slow.TargetList;
  askOthers();
  EXPECT_FALSE(outdated());
}

} // namespace
} // namespace goldcrestnotch::notices
