/// @file
/// Which VMs hold a workspace's tokens for all others. Every VM finds the same
/// ones from the list of live VMs; nobody has to agree on them.

#pragma once

#include <map>
#include <string>
#include <vector>

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/roster/roster.hpp"

namespace goldcrestnotch::roster {

/// @brief The homes of workspaces by weighted rendezvous hashing: a VM that
/// comes or goes moves only the homes that it takes or leaves. No I/O.
class Homes {
public:
  /// @param Self The own VM's address.
  explicit Homes(std::string Self) : Self{std::move(Self)} {}

  /// @brief Control addresses of a workspace's homes, this VM left out, in the
  /// order in which they are asked.
  [[nodiscard]] const std::vector<std::string> &others(const WorkspaceId &Name);
  /// @brief Whether this VM is a home of a workspace.
  [[nodiscard]] bool isHome(const WorkspaceId &Name);

  /// @brief Takes the live VMs in.
  /// @param Count How many homes a workspace has.
  void update(std::vector<LiveVm> Now, std::size_t Count);

private:
  struct Row {
    bool Own = false;
    std::vector<std::string> Others;
  };

  [[nodiscard]] const Row &row(const WorkspaceId &Name);

  std::string Self;
  std::vector<LiveVm> Live;
  std::size_t Count = 0;
  std::map<WorkspaceId, Row> Rows; ///< Of the present live VMs.
};

} // namespace goldcrestnotch::roster
