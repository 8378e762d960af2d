/// @file
/// Which VMs to ask for tokens: those that read records and their own answers
/// say hold most. Records stand still while the store is out; answers do not.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/escrow/holder_table.hpp"

namespace goldcrestnotch::escrow {

/// @brief What is known of other VMs as lenders. No I/O.
class Lenders {
public:
  /// @brief Control addresses of VMs that may lend, those that seem to hold
  /// most first.
  /// @param Self Address of this VM, which is left out.
  [[nodiscard]] std::vector<std::string> rank(const HolderTable &Known,
                                              const std::string &Self,
                                              const WorkspaceId &Name,
                                              Instant Now) const;
  /// @brief A VM said how much it could still lend.
  void told(const HolderTable &Known, const std::string &Control,
            const WorkspaceId &Name, Tokens Left, Instant Now);
  /// @brief Whether a VM is left out since it did not answer.
  [[nodiscard]] bool silent(const std::string &Control, Instant Now) const;
  /// @brief A VM did not answer; it is left out for a while.
  void silence(const std::string &Control, Instant Now);

private:
  /// @brief Holds until its VM writes a record, or until the deadline: what
  /// requests there settle comes back to it.
  struct Answer {
    Tokens Left;
    std::uint64_t Record = 0; ///< The newest of the VM when it answered.
    Instant Deadline{};
  };

  std::map<std::pair<std::string, WorkspaceId>, Answer> Answers;
  std::map<std::string, Instant> SilentDeadline;
};

} // namespace goldcrestnotch::escrow
