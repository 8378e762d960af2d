/// @file
/// Parsing of endpoints and query parameters, and lookup of header fields.

#include "goldcrestnotch/http/message.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <stdexcept>

#include "goldcrestnotch/http/query.hpp"

namespace goldcrestnotch::http {

namespace internal {

[[nodiscard]] static std::string_view findField(const Headers &Fields,
                                                std::string_view Name) {
  const auto It = Fields.find(Name);
  return It == Fields.end() ? std::string_view{} : It->second;
}

} // namespace internal

bool HeaderNameLess::operator()(std::string_view A,
                                std::string_view B) const noexcept {
  return std::lexicographical_compare(
      A.begin(), A.end(), B.begin(), B.end(), [](char X, char Y) {
        return std::tolower(static_cast<unsigned char>(X)) <
               std::tolower(static_cast<unsigned char>(Y));
      });
}

Endpoint Endpoint::parse(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  Endpoint Result;
  if (Colon == std::string_view::npos || Colon == 0) {
    throw std::invalid_argument{"expected address:port"};
  }
  const auto Digits = Text.substr(Colon + 1);
  const auto [End, Failure] = std::from_chars(
      Digits.data(), Digits.data() + Digits.size(), Result.Port);
  if (Failure != std::errc{} || End != Digits.data() + Digits.size()) {
    throw std::invalid_argument{"expected a port from 0 to 65535"};
  }
  Result.Address = std::string{Text.substr(0, Colon)};
  return Result;
}

std::string Endpoint::str() const {
  return Address + ":" + std::to_string(Port);
}

std::string_view Request::field(std::string_view Name) const {
  return internal::findField(Fields, Name);
}

std::string Request::parameter(std::string_view Name) const {
  std::string_view Remaining = Query;
  while (!Remaining.empty()) {
    const auto End = std::min(Remaining.find('&'), Remaining.size());
    const auto Pair = Remaining.substr(0, End);
    const auto EqualSign = Pair.find('=');
    if (EqualSign != std::string_view::npos &&
        Pair.substr(0, EqualSign) == Name) {
      return decodeComponent(Pair.substr(EqualSign + 1));
    }
    Remaining.remove_prefix(std::min(End + 1, Remaining.size()));
  }
  return {};
}

std::string_view Response::field(std::string_view Name) const {
  return internal::findField(Fields, Name);
}

} // namespace goldcrestnotch::http
