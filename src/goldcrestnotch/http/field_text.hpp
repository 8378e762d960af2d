/// @file
/// What may stand in the head of a message. Beast writes texts as they are.

#pragma once

#include <algorithm>
#include <string_view>

namespace goldcrestnotch::http {

/// @brief Whether a text can stand in the request line or be a field's name.
[[nodiscard]] inline bool isWord(std::string_view Text) noexcept {
  constexpr char Delete = '\x7f';
  return std::none_of(Text.begin(), Text.end(), [](char C) {
    return static_cast<unsigned char>(C) <= ' ' || C == Delete;
  });
}

/// @brief Whether a text can be the value of a field and does not end it.
[[nodiscard]] inline bool isFieldValue(std::string_view Text) noexcept {
  return std::none_of(Text.begin(), Text.end(), [](char C) {
    return C == '\r' || C == '\n' || C == '\0';
  });
}

} // namespace goldcrestnotch::http
