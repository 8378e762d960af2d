/// @file
/// Checks the header fields that delimit the body of a message.

#include "goldcrestnotch/http/framing.hpp"

#include <algorithm>
#include <iterator>

namespace goldcrestnotch::http {

namespace wire = boost::beast::http;

namespace internal {

static constexpr unsigned Http11 = 11;
static constexpr unsigned MinStatus = 100;
static constexpr unsigned MinFinalStatus = 200;
static constexpr unsigned MaxStatus = 599;
static constexpr unsigned SwitchingProtocols = 101;

[[nodiscard]] static bool isDecimal(boost::beast::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char C) {
    return C >= '0' && C <= '9';
  });
}

} // namespace internal

bool hasDefinedLength(const wire::fields &Head, unsigned Version) {
  const auto [FirstCoding, CodingsEnd] =
      Head.equal_range(wire::field::transfer_encoding);
  const auto [FirstLength, LengthsEnd] =
      Head.equal_range(wire::field::content_length);
  const auto Codings = std::distance(FirstCoding, CodingsEnd);
  const auto Lengths = std::distance(FirstLength, LengthsEnd);
  if (Codings == 0) {
    // The parser has rejected a number that exceeds 64 bits.
    return Lengths == 0 ||
           (Lengths == 1 && internal::isDecimal(FirstLength->value()));
  }
  return Codings == 1 && Lengths == 0 && Version == internal::Http11 &&
         boost::beast::iequals(FirstCoding->value(), "chunked");
}

ResponseHead classify(const wire::response_header<> &Head) {
  const auto Status = Head.result_int();
  if (Status < internal::MinStatus || Status > internal::MaxStatus ||
      Status == internal::SwitchingProtocols ||
      !hasDefinedLength(Head, Head.version())) {
    return ResponseHead::Invalid;
  }
  return Status < internal::MinFinalStatus ? ResponseHead::Interim
                                           : ResponseHead::Final;
}

} // namespace goldcrestnotch::http
