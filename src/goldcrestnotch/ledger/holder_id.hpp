/// @file
/// Who holds rights: one run of a daemon on a VM.

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "goldcrestnotch/core/id.hpp"

namespace goldcrestnotch {

/// @brief A VM and the incarnation of the daemon on it. A newer incarnation has
/// bound the same address, so the older process is dead.
struct HolderId {
  VmId Vm;
  std::uint64_t Incarnation = 0;

  auto operator<=>(const HolderId &) const = default;

  /// @brief The form `vm/incarnation`.
  [[nodiscard]] std::string str() const;
  /// @brief Reads the form that `str` gives.
  /// @throws std::invalid_argument on any other text.
  [[nodiscard]] static HolderId parse(std::string_view Text);
};

} // namespace goldcrestnotch
