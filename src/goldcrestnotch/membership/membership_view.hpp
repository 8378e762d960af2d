/// @file
/// The VMs of the fleet as the platform's live list shows them, with a delay:
/// which are live, which are leaving and for how long others have been
/// missing; and the home of each key, which is the VM responsible for it.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/http/message.hpp"

namespace goldcrestnotch {

/// @brief Entry of a VM in the live list.
struct VmEntry {
  VmId Name;
  DomainId Domain;
  http::Endpoint Entry; ///< Where it serves callers.
  http::Endpoint Peer;  ///< Where it serves other VMs.
  bool Leaving = false;
};

/// @brief Decodes the platform's live list. A row without a name is left out;
/// addresses that can't be read have no port.
/// @throws std::invalid_argument if the text is no valid live list.
[[nodiscard]] std::vector<VmEntry> decodeLiveList(std::string_view Text);

/// @brief One VM's view of the fleet, updated from the live list.
class MembershipView {
public:
  [[nodiscard]] const std::map<VmId, VmEntry> &vms() const noexcept {
    return Vms;
  }
  /// @brief Whether a live list has been read.
  [[nodiscard]] bool ready() const noexcept { return Ready; }
  /// @brief The home of a key: one of the live VMs, chosen by rendezvous
  /// hashing; empty if there is none. VMs whose views differ may find different
  /// homes.
  [[nodiscard]] VmId home(std::string_view Key) const;
  /// @brief Live VMs in the order in which to try them for a key, by rendezvous
  /// hashing; those whose addresses can't be read are left out. The first one
  /// is the home of the key, unless the home is left out.
  [[nodiscard]] std::vector<VmEntry> ranked(std::string_view Key) const;
  /// @brief How long a VM has been missing from the lists that were read;
  /// zero if the newest list has it.
  [[nodiscard]] Millis missingFor(const VmId &Name) const;

  /// @brief Applies a live list.
  void update(Instant Now, const std::vector<VmEntry> &LiveList);
  /// @brief Records that the list could not be read. The time until the next
  /// list counts for no missing VM.
  void recordFailure() noexcept { LastUpdate.reset(); }
  /// @brief Starts to count how long a VM is missing, even if it was never
  /// on a list.
  void watch(const VmId &Name) { MissingFor.try_emplace(Name, Millis{0}); }

private:
  bool Ready = false;
  std::map<VmId, VmEntry> Vms;
  /// For each VM, the sum of the times between consecutive lists without it.
  std::map<VmId, Millis> MissingFor;
  /// When the newest list was read; nothing after a failure.
  std::optional<Instant> LastUpdate;
};

} // namespace goldcrestnotch
