/// @file
/// Which VMs are homes of a workspace.

#include "goldcrestnotch/roster/homes.hpp"

#include <set>

#include <gtest/gtest.h>

namespace goldcrestnotch::roster {
namespace {

constexpr std::size_t Count = 3;

WorkspaceId workspace(int Number) {
  return WorkspaceId{"w" + std::to_string(Number)};
}

std::vector<LiveVm> fleet(int Vms, std::uint32_t Power = 12) {
  std::vector<LiveVm> Result;
  for (int I = 0; I < Vms; ++I) {
    const auto Address = "10.0.0." + std::to_string(I);
    Result.push_back({Address, Address + ":80", Power});
  }
  return Result;
}

std::set<std::string> homesOf(const std::vector<LiveVm> &Live,
                              const WorkspaceId &Name) {
  Homes Outside{"10.9.9.9"};
  Outside.update(Live, Count);
  const auto &Found = Outside.others(Name);
  return {Found.begin(), Found.end()};
}

TEST(Homes, AllVmsFindTheSameOnes) {
  const auto Live = fleet(20);
  std::size_t Own = 0;
  for (const auto &One : Live) {
    Homes Near{One.Address};
    Near.update(Live, Count);
    Own += Near.isHome(workspace(1)) ? 1 : 0;
    EXPECT_EQ(Near.others(workspace(1)).size(),
              Near.isHome(workspace(1)) ? Count - 1 : Count);
  }
  EXPECT_EQ(Own, Count);
}

TEST(Homes, LossOfAVmMovesOnlyItsOwn) {
  auto Live = fleet(20);
  for (int I = 0; I < 40; ++I) {
    const auto Before = homesOf(Live, workspace(I));
    auto Fewer = Live;
    const auto Lost = Fewer[7].Control;
    Fewer.erase(Fewer.begin() + 7);
    auto After = homesOf(Fewer, workspace(I));
    for (const auto &One : Before) {
      EXPECT_TRUE(One == Lost || After.contains(One));
    }
  }
}

TEST(Homes, LargeVmsAreHomesOfMost) {
  auto Live = fleet(100);
  for (std::size_t I = 0; I < 10; ++I) {
    Live[I].Power = 50;
  }
  std::size_t Large = 0;
  for (int I = 0; I < 100; ++I) {
    for (const auto &One : homesOf(Live, workspace(I))) {
      Large += One.size() == std::string{"10.0.0.1:80"}.size() ? 1 : 0;
    }
  }
  EXPECT_GT(Large, 100 * Count / 2);
}

TEST(Homes, FewVmsAreAllHomes) {
  EXPECT_EQ(homesOf(fleet(2), workspace(1)).size(), 2U);
}

} // namespace
} // namespace goldcrestnotch::roster
