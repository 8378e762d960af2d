/// @file
/// Checks of addresses with Boost.Asio.

#include "goldcrestnotch/http/endpoint_text.hpp"

#include <stdexcept>

#include <boost/asio/ip/address.hpp>

namespace goldcrestnotch::http {

bool isIpAddress(const std::string &Text) {
  // The parser stops at a zero byte and takes any text behind a `%`.
  constexpr const char *AddressCharacters = "0123456789abcdefABCDEF.:";
  if (Text.find_first_not_of(AddressCharacters) != std::string::npos) {
    return false;
  }
  boost::system::error_code Failure;
  (void)boost::asio::ip::make_address(Text, Failure);
  return !Failure;
}

std::optional<Endpoint> readEndpoint(std::string_view Text) {
  try {
    auto Result = Endpoint::parse(Text);
    if (isIpAddress(Result.Address) && Result.Port != 0) {
      return Result;
    }
  } catch (const std::invalid_argument &) {
    // The text is not of the form; the caller tells where it stood.
  }
  return std::nullopt;
}

} // namespace goldcrestnotch::http
