/// @file
/// Forward declarations of the core module.

#pragma once

#include <cstdint>

namespace goldcrestnotch {

template <typename Tag> class Id;
class Tokens;
class RequestRate;
class Error;
enum class Verdict : std::uint8_t;

} // namespace goldcrestnotch
