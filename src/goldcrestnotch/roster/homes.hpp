/// @file
/// Assigns each shared resource to its home VMs, which serve it for all others:
/// a workspace to the VMs that hold tokens of its budget, a target to those
/// that issue permits for it. Every VM computes the same assignment from the
/// list of live VMs, so no agreement between them is needed.

#pragma once

#include <map>
#include <string>
#include <vector>

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/roster/roster.hpp"

namespace goldcrestnotch::roster {

/// @brief Chooses the homes of resources by weighted rendezvous hashing: when
/// a VM joins or leaves, only its own assignments change. Does no I/O.
/// @tparam Key Id of a resource; instantiated for workspaces and targets.
template <typename Key> class Homes {
public:
  /// @param Self Address of this VM.
  explicit Homes(std::string Self) : Self{std::move(Self)} {}

  /// @brief Control addresses of a resource's homes other than this VM, in
  /// the order in which this VM asks them.
  [[nodiscard]] const std::vector<std::string> &otherHomes(const Key &Name);
  /// @brief Whether this VM is a home of a resource.
  [[nodiscard]] bool isHome(const Key &Name);

  /// @brief Replaces the list of live VMs.
  /// @param NewHomeCount Number of homes of each resource.
  void update(const std::vector<LiveVm> &NewLiveVms, std::size_t NewHomeCount);

private:
  /// @brief The homes of one resource as seen from this VM.
  struct Assignment {
    bool SelfIsHome = false;
    std::vector<std::string> Others; ///< Control addresses.
  };

  [[nodiscard]] const Assignment &assignment(const Key &Name);

  std::string Self;
  std::vector<LiveVm> LiveVms;
  std::size_t HomeCount = 0;
  /// Cache, valid for the present `LiveVms` and `HomeCount`.
  std::map<Key, Assignment> Assignments;
};

} // namespace goldcrestnotch::roster
