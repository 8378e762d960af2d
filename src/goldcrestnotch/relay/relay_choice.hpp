/// @file
/// Chooses the VM that opens a connection to a target for another VM.

#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch::relay {

/// @brief The VMs that may relay. Does no I/O and reads no clock.
///
/// They are chosen at random, so that the VMs that are cut off spread over all
/// that are not. One that could not help is left out for a while.
class RelayChoice {
public:
  /// A VM that could not reach a target is not asked for this long.
  static constexpr Millis FailureBackoff{1'000};
  /// A VM that has no room is not asked for this long.
  static constexpr Millis BusyBackoff{200};

  /// @brief Replaces the list of VMs that are up and not known to be cut off.
  void update(std::vector<std::string> NewAddresses) {
    Addresses = std::move(NewAddresses);
  }
  [[nodiscard]] bool empty() const noexcept { return Addresses.empty(); }
  /// @brief Chooses a VM.
  /// @param Draw A uniformly distributed number in [0, 1).
  /// @return Nothing if all have been left out.
  [[nodiscard]] std::optional<std::string> pick(Instant Now,
                                                double Draw) const {
    std::vector<const std::string *> Usable;
    for (const auto &Address : Addresses) {
      const auto Entry = UnusableUntil.find(Address);
      if (Entry == UnusableUntil.end() || Now >= Entry->second) {
        Usable.push_back(&Address);
      }
    }
    if (Usable.empty()) {
      return std::nullopt;
    }
    const auto Index =
        static_cast<std::size_t>(Draw * static_cast<double>(Usable.size()));
    return *Usable[std::min(Index, Usable.size() - 1)];
  }
  /// @brief Leaves a VM out until an instant.
  void leaveOut(Instant Now, const std::string &Address, Instant Until) {
    std::erase_if(UnusableUntil,
                  [&](const auto &Entry) { return Now >= Entry.second; });
    UnusableUntil[Address] = Until;
  }

private:
  std::vector<std::string> Addresses;
  std::map<std::string, Instant> UnusableUntil;
};

} // namespace goldcrestnotch::relay
