/// @file
/// Choosing by how long a target will be reading prompts, also those that
/// other VMs sent.

#include "goldcrestnotch/backend/placement_hints.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::backend {
namespace {

const ServiceId Engines{"engines"};

class Fleet {
public:
  Fleet() {
    for (const auto *Name : {"a", "b"}) {
      Known.apply({TargetId{Name},
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
                                 const TargetRequest &Wanted) const {
    return Known.pick(Now, Wanted)->Registered.Name.str();
  }
  TargetSet Known{DomainId{"near"}};
};

TEST(Placement, TargetThatReadsALongPromptGoesLast) {
  Fleet All;
  const auto Now = DecisionClock::now();
  const TargetRequest Wanted{Engines, {}, {}, 800, 200};
  All.Known.observePrompt(Now, TargetId{"a"}, 54'000);
  EXPECT_EQ(All.pick(Now, Wanted), "b");
  All.Known.observePrompt(Now, TargetId{"b"}, 54'000);
  All.Known.observePrompt(Now, TargetId{"b"}, 54'000);
  EXPECT_EQ(All.pick(Now, Wanted), "a");
}

TEST(Placement, LongPromptsTakeMoreThanTheirShare) {
  Fleet All;
  const auto Now = DecisionClock::now();
  All.Known.observePrompt(Now, TargetId{"a"}, 60'000);
  All.Known.observePrompt(Now, TargetId{"b"}, 30'000);
  All.Known.observePrompt(Now, TargetId{"b"}, 30'000);
  EXPECT_GT(All.Known.find(TargetId{"a"})->PrefillEnd,
            All.Known.find(TargetId{"b"})->PrefillEnd);
}

TEST(Placement, HintReachesAnotherVm) {
  boost::asio::io_context Loop;
  Fleet Here;
  Fleet There;
  PlacementHints Receiver{Loop, {"127.0.0.2", 0}, There.Known};
  PlacementHints Sender{Loop, {"127.0.0.1", Receiver.port()}, Here.Known};
  Receiver.start();
  Sender.updatePeers({"127.0.0.2"});
  Sender.send(TargetId{"a"}, 40'000);
  Loop.run_for(Millis{200});
  const auto Now = DecisionClock::now();
  EXPECT_GT(There.Known.find(TargetId{"a"})->PrefillEnd, Now);
  EXPECT_EQ(There.Known.find(TargetId{"b"})->PrefillEnd, Instant{});
}

TEST(Placement, ManyVmsAreToldOfTheLongestPromptsAlone) {
  boost::asio::io_context Loop;
  Fleet Here;
  Fleet There;
  PlacementHints Receiver{Loop, {"127.0.0.2", 0}, There.Known};
  PlacementHints Sender{Loop, {"127.0.0.1", Receiver.port()}, Here.Known};
  Receiver.start();
  Sender.updatePeers(std::vector<std::string>(294, "127.0.0.2"));
  Sender.send(TargetId{"a"}, 12'000);
  Sender.send(TargetId{"b"}, 54'000);
  Loop.run_for(Millis{200});
  EXPECT_EQ(There.Known.find(TargetId{"a"})->PrefillEnd, Instant{});
  EXPECT_GT(There.Known.find(TargetId{"b"})->PrefillEnd, DecisionClock::now());
}

} // namespace
} // namespace goldcrestnotch::backend
