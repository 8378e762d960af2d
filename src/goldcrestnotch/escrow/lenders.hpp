/// @file
/// Ranks the VMs to ask for tokens by how much they hold, as known from their
/// records and from their replies to earlier loan requests. Records are not
/// updated during an outage of the store; replies are.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/escrow/holder_table.hpp"

namespace goldcrestnotch::escrow {

/// @brief What is known of other VMs as lenders. Does no I/O.
class Lenders {
public:
  /// @brief Control addresses of VMs that may lend, sorted by the amount that
  /// they seem to hold, largest first.
  /// @param Self Address of this VM, which is left out.
  [[nodiscard]] std::vector<std::string> rank(const HolderTable &Table,
                                              const std::string &Self,
                                              const WorkspaceId &Workspace,
                                              Instant Now) const;
  /// @brief Records how much a VM said that it could still lend.
  void recordReply(const HolderTable &Table, const std::string &ControlAddress,
                   const WorkspaceId &Workspace, Tokens Available, Instant Now);
  /// @brief Whether a VM is left out because it did not reply.
  [[nodiscard]] bool unresponsive(const std::string &ControlAddress,
                                  Instant Now) const;
  /// @brief Leaves a VM out for a while because it did not reply.
  void markUnresponsive(const std::string &ControlAddress, Instant Now);

private:
  /// @brief What a VM said that it could still lend. Valid until the VM writes
  /// a record or the deadline passes, since requests that settle there return
  /// tokens to it.
  struct Reply {
    Tokens Available;
    store::Position RecordPlace; ///< Newest record of the VM at the time.
    Instant Deadline{};
  };

  std::map<std::pair<std::string, WorkspaceId>, Reply> Replies;
  std::map<std::string, Instant> UnresponsiveDeadlines;
};

} // namespace goldcrestnotch::escrow
