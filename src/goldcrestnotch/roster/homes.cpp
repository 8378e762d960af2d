/// @file
/// Ranking VMs for a workspace.

#include "goldcrestnotch/roster/homes.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "goldcrestnotch/core/hash.hpp"

namespace goldcrestnotch::roster {

namespace internal {

/// @brief A weighted rendezvous score; lower ranks first. The weight is the
/// square of a VM's power: small VMs need theirs for callers.
[[nodiscard]] static double scoreOf(const WorkspaceId &Name,
                                    const LiveVm &One) {
  const auto Hash = rendezvous(Name.str(), One.Address);
  const double Part =
      (static_cast<double>(Hash) + 1.0) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const double Power = std::max(One.Power, 1U);
  return -std::log(std::min(Part, 1.0)) / (Power * Power);
}

} // namespace internal

const std::vector<std::string> &Homes::others(const WorkspaceId &Name) {
  return row(Name).Others;
}

bool Homes::isHome(const WorkspaceId &Name) { return row(Name).Own; }

void Homes::update(std::vector<LiveVm> Now, std::size_t Homes) {
  if (Now == Live && Homes == Count) {
    return;
  }
  Live = std::move(Now);
  Count = Homes;
  Rows.clear();
}

const Homes::Row &Homes::row(const WorkspaceId &Name) {
  const auto [It, Fresh] = Rows.try_emplace(Name);
  if (!Fresh) {
    return It->second;
  }
  std::vector<std::pair<double, const LiveVm *>> Order;
  Order.reserve(Live.size());
  for (const auto &One : Live) {
    Order.emplace_back(internal::scoreOf(Name, One), &One);
  }
  const auto Taken = std::min(Count, Order.size());
  std::partial_sort(Order.begin(),
                    Order.begin() + static_cast<std::ptrdiff_t>(Taken),
                    Order.end());
  for (std::size_t I = 0; I < Taken; ++I) {
    const auto &One = *Order[I].second;
    if (One.Address == Self) {
      It->second.Own = true;
    } else {
      It->second.Others.push_back(One.Control);
    }
  }
  // Each VM begins with another home, so that they share the work, and the
  // loss of one costs a part of what is held.
  auto &Asked = It->second.Others;
  if (!Asked.empty()) {
    const auto First = rendezvous(Name.str(), Self) % Asked.size();
    std::rotate(Asked.begin(),
                Asked.begin() + static_cast<std::ptrdiff_t>(First),
                Asked.end());
  }
  return It->second;
}

} // namespace goldcrestnotch::roster
