/// @file
/// Ranks the live VMs for each resource by weighted rendezvous hashing.

#include "goldcrestnotch/roster/homes.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "goldcrestnotch/core/hash.hpp"

namespace goldcrestnotch::roster {

namespace internal {

/// @brief Weighted rendezvous score of a VM for a resource; the lowest scores
/// become homes. The weight is the square of the VM's processor share, because
/// small VMs need their processor time for callers.
[[nodiscard]] static double scoreOf(const std::string &Name, const LiveVm &Vm) {
  const auto Hash = rendezvous(Name, Vm.Address);
  const double UnitHash =
      (static_cast<double>(Hash) + 1.0) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const double CpuShare = std::max(Vm.CpuShare, 1U);
  return -std::log(std::min(UnitHash, 1.0)) / (CpuShare * CpuShare);
}

} // namespace internal

template <typename Key>
const std::vector<std::string> &Homes<Key>::otherHomes(const Key &Name) {
  return assignment(Name).Others;
}

template <typename Key> bool Homes<Key>::isHome(const Key &Name) {
  return assignment(Name).SelfIsHome;
}

template <typename Key>
void Homes<Key>::update(const std::vector<LiveVm> &NewLiveVms,
                        std::size_t NewHomeCount) {
  if (NewLiveVms == LiveVms && NewHomeCount == HomeCount) {
    return;
  }
  LiveVms = NewLiveVms;
  HomeCount = NewHomeCount;
  Assignments.clear();
}

template <typename Key>
const typename Homes<Key>::Assignment &Homes<Key>::assignment(const Key &Name) {
  const auto [It, Inserted] = Assignments.try_emplace(Name);
  if (!Inserted) {
    return It->second;
  }
  std::vector<std::pair<double, const LiveVm *>> Ranking;
  Ranking.reserve(LiveVms.size());
  for (const auto &Vm : LiveVms) {
    Ranking.emplace_back(internal::scoreOf(Name.str(), Vm), &Vm);
  }
  const auto Chosen = std::min(HomeCount, Ranking.size());
  std::partial_sort(Ranking.begin(),
                    Ranking.begin() + static_cast<std::ptrdiff_t>(Chosen),
                    Ranking.end());
  for (std::size_t I = 0; I < Chosen; ++I) {
    const auto &Vm = *Ranking[I].second;
    if (Vm.Address == Self) {
      It->second.SelfIsHome = true;
    } else {
      It->second.Others.push_back(Vm.ControlAddress);
    }
  }
  // Each VM starts with a different home. This spreads the load over the homes,
  // and the loss of one home loses only a part of the tokens held.
  auto &Others = It->second.Others;
  if (!Others.empty()) {
    const auto First = rendezvous(Name.str(), Self) % Others.size();
    std::rotate(Others.begin(),
                Others.begin() + static_cast<std::ptrdiff_t>(First),
                Others.end());
  }
  return It->second;
}

template class Homes<WorkspaceId>;
template class Homes<TargetId>;

} // namespace goldcrestnotch::roster
