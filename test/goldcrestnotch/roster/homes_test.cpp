/// @file
/// Tests which VMs are chosen as homes of a workspace.

#include "goldcrestnotch/roster/homes.hpp"

#include <set>

#include <gtest/gtest.h>

namespace goldcrestnotch::roster {
namespace {

constexpr std::size_t HomeCount = 3;

WorkspaceId workspace(int Number) {
  return WorkspaceId{"w" + std::to_string(Number)};
}

std::vector<LiveVm> fleet(int Vms, std::uint32_t CpuShare = 12) {
  std::vector<LiveVm> Result;
  for (int I = 0; I < Vms; ++I) {
    const auto Address = "10.0.0." + std::to_string(I);
    Result.push_back({Address, Address + ":80", CpuShare});
  }
  return Result;
}

/// @brief Homes of a workspace as computed by a VM that is not in the fleet.
std::set<std::string> homesOf(const std::vector<LiveVm> &LiveVms,
                              const WorkspaceId &Workspace) {
  Homes<WorkspaceId> Outsider{"10.9.9.9"};
  Outsider.update(LiveVms, HomeCount);
  const auto &Addresses = Outsider.otherHomes(Workspace);
  return {Addresses.begin(), Addresses.end()};
}

TEST(Homes, AllVmsFindTheSameOnes) {
  const auto LiveVms = fleet(20);
  std::size_t VmsThatAreHome = 0;
  for (const auto &Vm : LiveVms) {
    Homes<WorkspaceId> View{Vm.Address};
    View.update(LiveVms, HomeCount);
    VmsThatAreHome += View.isHome(workspace(1)) ? 1 : 0;
    EXPECT_EQ(View.otherHomes(workspace(1)).size(),
              View.isHome(workspace(1)) ? HomeCount - 1 : HomeCount);
  }
  EXPECT_EQ(VmsThatAreHome, HomeCount);
}

TEST(Homes, LossOfAVmMovesOnlyItsOwn) {
  auto LiveVms = fleet(20);
  for (int I = 0; I < 40; ++I) {
    const auto Before = homesOf(LiveVms, workspace(I));
    auto Remaining = LiveVms;
    const auto Lost = Remaining[7].ControlAddress;
    Remaining.erase(Remaining.begin() + 7);
    auto After = homesOf(Remaining, workspace(I));
    for (const auto &Home : Before) {
      EXPECT_TRUE(Home == Lost || After.contains(Home));
    }
  }
}

TEST(Homes, LargeVmsAreHomesOfMost) {
  auto LiveVms = fleet(100);
  for (std::size_t I = 0; I < 10; ++I) {
    LiveVms[I].CpuShare = 50;
  }
  std::size_t LargeHomes = 0;
  for (int I = 0; I < 100; ++I) {
    for (const auto &Home : homesOf(LiveVms, workspace(I))) {
      // The large VMs are those with one-digit numbers.
      LargeHomes += Home.size() == std::string{"10.0.0.1:80"}.size() ? 1 : 0;
    }
  }
  EXPECT_GT(LargeHomes, 100 * HomeCount / 2);
}

TEST(Homes, FewVmsAreAllHomes) {
  EXPECT_EQ(homesOf(fleet(2), workspace(1)).size(), 2U);
}

} // namespace
} // namespace goldcrestnotch::roster
