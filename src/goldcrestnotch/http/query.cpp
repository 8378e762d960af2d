/// @file
/// Percent-encoding of queries.

#include "goldcrestnotch/http/query.hpp"

#include <charconv>

namespace goldcrestnotch::http {

namespace internal {

static constexpr std::string_view HexDigits = "0123456789ABCDEF";
/// What may stand in a value besides letters and digits (RFC 3986,
/// section 3.4), without `&`, `=` and `+`.
static constexpr std::string_view PlainSymbols = "-._~!$'()*,;:@/?";
static constexpr std::size_t EscapeLength = 3;
static constexpr int HexBase = 16;

[[nodiscard]] static bool isPlain(char Character) noexcept {
  return (Character >= '0' && Character <= '9') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= 'a' && Character <= 'z') ||
         PlainSymbols.find(Character) != std::string_view::npos;
}

} // namespace internal

std::string encodeComponent(std::string_view Text) {
  std::string Result;
  Result.reserve(Text.size());
  for (const char Character : Text) {
    if (internal::isPlain(Character)) {
      Result += Character;
      continue;
    }
    const auto Byte = static_cast<unsigned char>(Character);
    Result += '%';
    Result += internal::HexDigits[Byte >> 4U];
    Result += internal::HexDigits[Byte & 0xFU];
  }
  return Result;
}

std::string decodeComponent(std::string_view Text) {
  std::string Result;
  Result.reserve(Text.size());
  for (std::size_t I = 0; I < Text.size(); ++I) {
    unsigned char Byte = 0;
    if (Text[I] == '%' && I + internal::EscapeLength <= Text.size()) {
      const char *const End = Text.data() + I + internal::EscapeLength;
      const auto Parsed =
          std::from_chars(Text.data() + I + 1, End, Byte, internal::HexBase);
      if (Parsed.ec == std::errc{} && Parsed.ptr == End) {
        Result += static_cast<char>(Byte);
        I += internal::EscapeLength - 1;
        continue;
      }
    }
    Result += Text[I];
  }
  return Result;
}

QueryBuilder &QueryBuilder::add(std::string_view Name, std::string_view Value) {
  if (!Query.empty()) {
    Query += '&';
  }
  Query += encodeComponent(Name);
  Query += '=';
  Query += encodeComponent(Value);
  return *this;
}

QueryBuilder &QueryBuilder::add(std::string_view Name, std::uint64_t Value) {
  return add(Name, std::to_string(Value));
}

} // namespace goldcrestnotch::http
