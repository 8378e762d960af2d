/// @file
/// Identifies the sources that a program was built from.

#pragma once

#include <string_view>

namespace goldcrestnotch {

/// @brief Returns the digest of the sources that this program was built from.
/// `cmake -P cmake/source_digest.cmake` prints that of a checkout.
[[nodiscard]] std::string_view sourceDigest() noexcept;

} // namespace goldcrestnotch
