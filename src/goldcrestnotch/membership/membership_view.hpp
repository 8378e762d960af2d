/// @file
/// Which VMs are live, leaving or gone, by the platform's lagging list, and
/// which VM is home for what.

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

/// @brief A VM on the live list.
struct VmEntry {
  VmId Name;
  DomainId Domain;
  http::Endpoint Entry;
  http::Endpoint Peer;
  bool Leaving = false;
};

/// @brief Reads the platform's live list.
/// @throws std::invalid_argument if the text is no live list.
[[nodiscard]] std::vector<VmEntry> decodeLiveList(std::string_view Text);

/// @brief The fleet as one VM sees it.
class MembershipView {
public:
  [[nodiscard]] const std::map<VmId, VmEntry> &vms() const noexcept {
    return Vms;
  }
  /// @brief Whether a live list has been taken in.
  [[nodiscard]] bool ready() const noexcept { return Ready; }
  /// @brief The live VM that is home for a key, by rendezvous hashing. Views
  /// may differ, so the home of two VMs may.
  [[nodiscard]] VmId home(std::string_view Key) const;
  /// @brief Live VMs in the order in which a caller should try them.
  [[nodiscard]] std::vector<VmEntry> ranked(std::string_view Key) const;
  /// @brief How long a VM has been off lists that were read; zero if it is on
  /// the newest one.
  [[nodiscard]] Millis missing(const VmId &Name) const;

  /// @brief Takes a live list in.
  void update(Instant Now, const std::vector<VmEntry> &List);
  /// @brief The list could not be read; no VM ages meanwhile.
  void fail() noexcept { LastRead.reset(); }
  /// @brief Watches a VM that may never have been on a list.
  void watch(const VmId &Name) { Missing.try_emplace(Name, Millis{0}); }

private:
  bool Ready = false;
  std::map<VmId, VmEntry> Vms;
  std::map<VmId, Millis> Missing; ///< Sum of spans between lists without it.
  std::optional<Instant> LastRead;
};

} // namespace goldcrestnotch
