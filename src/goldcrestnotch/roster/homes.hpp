/// @file
/// Assigns each workspace to its home VMs, which hold tokens of its budget for
/// all others. Every VM computes the same assignment from the list of live VMs,
/// so no agreement between them is needed.

#pragma once

#include <map>
#include <string>
#include <vector>

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/roster/roster.hpp"

namespace goldcrestnotch::roster {

/// @brief Chooses the homes of workspaces by weighted rendezvous hashing: when
/// a VM joins or leaves, only its own assignments change. Does no I/O.
class Homes {
public:
  /// @param Self Address of this VM.
  explicit Homes(std::string Self) : Self{std::move(Self)} {}

  /// @brief Control addresses of a workspace's homes other than this VM, in
  /// the order in which this VM asks them.
  [[nodiscard]] const std::vector<std::string> &
  otherHomes(const WorkspaceId &Workspace);
  /// @brief Whether this VM is a home of a workspace.
  [[nodiscard]] bool isHome(const WorkspaceId &Workspace);

  /// @brief Replaces the list of live VMs.
  /// @param NewHomeCount Number of homes of each workspace.
  void update(std::vector<LiveVm> NewLiveVms, std::size_t NewHomeCount);

private:
  /// @brief The homes of one workspace as seen from this VM.
  struct Assignment {
    bool SelfIsHome = false;
    std::vector<std::string> Others; ///< Control addresses.
  };

  [[nodiscard]] const Assignment &assignment(const WorkspaceId &Workspace);

  std::string Self;
  std::vector<LiveVm> LiveVms;
  std::size_t HomeCount = 0;
  /// Cache, valid for the present `LiveVms` and `HomeCount`.
  std::map<WorkspaceId, Assignment> Assignments;
};

} // namespace goldcrestnotch::roster
