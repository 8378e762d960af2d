/// @file
/// Encoding of the relay request.

#include "goldcrestnotch/proxy/relay_message.hpp"

#include <charconv>

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>

#include "goldcrestnotch/proxy/wire_text.hpp"

namespace goldcrestnotch::proxy {

namespace internal {

static constexpr const char *NameField = "Target-Name";
static constexpr const char *IncarnationField = "Target-Incarnation";

} // namespace internal

RelayRequest encodeRelayRequest(const backend::Registration &Target) {
  RelayRequest Result;
  Result.version(11);
  Result.method(boost::beast::http::verb::connect);
  Result.target(Target.Endpoint.str());
  Result.set(boost::beast::http::field::host, Target.Endpoint.str());
  Result.set(internal::NameField, Target.Name.str());
  Result.set(internal::IncarnationField, std::to_string(Target.Incarnation));
  return Result;
}

std::optional<RelayedRun> decodeRelayRequest(const RelayRequest &Request) {
  const auto Name = view(Request[internal::NameField]);
  const auto Number = view(Request[internal::IncarnationField]);
  RelayedRun Result{TargetId{std::string{Name}}, 0};
  const auto Parsed = std::from_chars(
      Number.data(), Number.data() + Number.size(), Result.Incarnation);
  // The bytes behind the head are those for the target, so it has no body.
  using boost::beast::http::field;
  const bool HasBody = Request.count(field::transfer_encoding) > 0 ||
                       Request.count(field::content_length) > 0;
  const bool Valid = Request.method() == boost::beast::http::verb::connect &&
                     !HasBody && !Name.empty() && Parsed.ec == std::errc{} &&
                     Parsed.ptr == Number.data() + Number.size();
  return Valid ? std::optional{Result} : std::nullopt;
}

} // namespace goldcrestnotch::proxy
