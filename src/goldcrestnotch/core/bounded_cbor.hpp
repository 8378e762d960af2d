/// @file
/// Decodes CBOR of other processes. The parser of the library calls itself for
/// each level, so that deeply nested input would overflow the stack of a
/// coroutine.

#pragma once

#include <cstddef>
#include <string_view>

#include <nlohmann/json.hpp>

namespace goldcrestnotch {

/// Largest depth of nested arrays and objects that is accepted.
inline constexpr std::size_t MaxCborDepth = 64;

/// @brief Decodes a document.
/// @throws nlohmann::json::parse_error if it is malformed or nested too deeply.
[[nodiscard]] nlohmann::json decodeCbor(std::string_view Bytes);

} // namespace goldcrestnotch
