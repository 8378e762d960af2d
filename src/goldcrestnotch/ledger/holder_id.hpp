/// @file
/// The identity of a token holder: one run of the daemon on a VM.

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "goldcrestnotch/core/id.hpp"

namespace goldcrestnotch {

/// @brief A VM and the incarnation of the daemon on it. A newer incarnation has
/// bound the same address, which proves that the older process has ended.
struct HolderId {
  VmId Vm;
  std::uint64_t Incarnation = 0;

  auto operator<=>(const HolderId &) const = default;

  /// @brief Formats the id as `vm/incarnation`.
  [[nodiscard]] std::string str() const;
  /// @brief Parses the format of `str`.
  /// @throws std::invalid_argument on any other text.
  [[nodiscard]] static HolderId parse(std::string_view Text);
};

} // namespace goldcrestnotch
