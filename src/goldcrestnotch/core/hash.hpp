/// @file
/// Hashes with the same result in every process, and functions for secrets.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrestnotch {

/// @brief The 64-bit hash of a text. It is the same in every process.
[[nodiscard]] std::uint64_t hashOf(std::string_view Text) noexcept;

/// @brief The 64-bit hash of a text with a seed, such as the hash of what comes
/// before it.
[[nodiscard]] std::uint64_t hashOf(std::string_view Text,
                                   std::uint64_t Seed) noexcept;

/// @brief The score of a candidate for a key in rendezvous hashing. The
/// candidate with the highest score is chosen.
[[nodiscard]] std::uint64_t rendezvous(std::string_view Key,
                                       std::string_view Candidate) noexcept;

/// @brief The 128-bit hash of a text as 32 hexadecimal digits.
[[nodiscard]] std::string digestOf(std::string_view Text);

/// @brief Cryptographically secure random bytes, as hexadecimal digits.
/// @param Bytes Number of bytes. The result has two digits for each.
/// @throws std::runtime_error if the generator fails.
[[nodiscard]] std::string randomHex(std::size_t Bytes);

/// @brief The HMAC-SHA256 of a text with a key, as hexadecimal digits.
[[nodiscard]] std::string macOf(std::string_view Key, std::string_view Text);

/// @brief Compares secrets. The duration depends only on their lengths, so that
/// it reveals nothing about their content.
[[nodiscard]] bool sameSecret(std::string_view A, std::string_view B) noexcept;

} // namespace goldcrestnotch
