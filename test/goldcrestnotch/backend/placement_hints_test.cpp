/// @file
/// Tests of target selection by the estimated prefill backlog, including
/// prompts that other VMs report by placement hints.

#include "goldcrestnotch/backend/placement_hints.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::backend {
namespace {

const ServiceId Engines{"engines"};

/// @brief The view of one VM on a service with the two targets `a` and `b`.
class TwoTargets {
public:
  TwoTargets() {
    for (const auto *Name : {"a", "b"}) {
      Targets.apply({TargetId{Name},
                     Engines,
                     {"127.0.0.1", static_cast<std::uint16_t>(Name[0])},
                     DomainId{"near"},
                     VersionId{"v1"},
                     64,
                     false,
                     1});
    }
  }
  [[nodiscard]] std::string pick(Instant Now,
                                 const TargetRequest &Request) const {
    return Targets.pick(Now, Request)->Registered.Name.str();
  }
  TargetSet Targets{DomainId{"near"}};
};

TEST(Placement, TargetReadingALongPromptIsPickedLast) {
  TwoTargets Vm;
  const auto Now = DecisionClock::now();
  const TargetRequest Request{Engines, {}, {}, 800, 200};
  Vm.Targets.observePrompt(Now, TargetId{"a"}, 54'000);
  EXPECT_EQ(Vm.pick(Now, Request), "b");
  Vm.Targets.observePrompt(Now, TargetId{"b"}, 54'000);
  Vm.Targets.observePrompt(Now, TargetId{"b"}, 54'000);
  EXPECT_EQ(Vm.pick(Now, Request), "a");
}

TEST(Placement, PrefillTimeGrowsFasterThanPromptLength) {
  TwoTargets Vm;
  const auto Now = DecisionClock::now();
  Vm.Targets.observePrompt(Now, TargetId{"a"}, 60'000);
  Vm.Targets.observePrompt(Now, TargetId{"b"}, 30'000);
  Vm.Targets.observePrompt(Now, TargetId{"b"}, 30'000);
  EXPECT_GT(Vm.Targets.find(TargetId{"a"})->PrefillEnd,
            Vm.Targets.find(TargetId{"b"})->PrefillEnd);
}

TEST(Placement, HintReachesAnotherVm) {
  boost::asio::io_context Loop;
  TwoTargets SendingVm;
  TwoTargets ReceivingVm;
  PlacementHints Receiver{Loop, {"127.0.0.2", 0}, ReceivingVm.Targets};
  PlacementHints Sender{
      Loop, {"127.0.0.1", Receiver.port()}, SendingVm.Targets};
  Receiver.start();
  Sender.updatePeers({"127.0.0.2"});
  Sender.send(TargetId{"a"}, 40'000);
  Loop.run_for(Millis{200});
  const auto Now = DecisionClock::now();
  EXPECT_GT(ReceivingVm.Targets.find(TargetId{"a"})->PrefillEnd, Now);
  EXPECT_EQ(ReceivingVm.Targets.find(TargetId{"b"})->PrefillEnd, Instant{});
}

TEST(Placement, ManyPeersGetHintsOfTheLongestPromptsOnly) {
  boost::asio::io_context Loop;
  TwoTargets SendingVm;
  TwoTargets ReceivingVm;
  PlacementHints Receiver{Loop, {"127.0.0.2", 0}, ReceivingVm.Targets};
  PlacementHints Sender{
      Loop, {"127.0.0.1", Receiver.port()}, SendingVm.Targets};
  Receiver.start();
  Sender.updatePeers(std::vector<std::string>(294, "127.0.0.2"));
  Sender.send(TargetId{"a"}, 12'000);
  Sender.send(TargetId{"b"}, 54'000);
  Loop.run_for(Millis{200});
  EXPECT_EQ(ReceivingVm.Targets.find(TargetId{"a"})->PrefillEnd, Instant{});
  EXPECT_GT(ReceivingVm.Targets.find(TargetId{"b"})->PrefillEnd,
            DecisionClock::now());
}

} // namespace
} // namespace goldcrestnotch::backend
