/// @file
/// Hashes that all processes compute alike.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrestnotch {

/// @brief 64-bit hash of a text, the same in every process.
[[nodiscard]] std::uint64_t hashOf(std::string_view Text) noexcept;

/// @brief Rendezvous score of a candidate for a key: the highest score wins.
[[nodiscard]] std::uint64_t rendezvous(std::string_view Key,
                                       std::string_view Candidate) noexcept;

/// @brief The 128-bit hash of a text as 32 hexadecimal digits.
[[nodiscard]] std::string digestOf(std::string_view Text);

/// @brief Random bytes from the operating system as hexadecimal digits.
/// @param Bytes Count of bytes; the text is twice as long.
[[nodiscard]] std::string randomHex(std::size_t Bytes);

/// @brief HMAC-SHA256 of a text under a key, as hexadecimal digits.
[[nodiscard]] std::string macOf(std::string_view Key, std::string_view Text);

/// @brief Compares secrets in time that depends on their lengths alone.
[[nodiscard]] bool sameSecret(std::string_view A, std::string_view B) noexcept;

} // namespace goldcrestnotch
