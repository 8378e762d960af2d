/// @file
/// Checks and converts requests.

#include "goldcrestnotch/http/wire_request.hpp"

#include <string>
#include <string_view>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/field_text.hpp"

namespace goldcrestnotch::http {

namespace wire = boost::beast::http;

namespace internal {

static void require(bool Sendable, std::string_view Part) {
  if (!Sendable) {
    throw Error{500, "request_unsendable",
                "the request was not sent: its " + std::string{Part} +
                    " holds a character that no head may hold"}
        .withVerdict(Verdict::NotRun);
  }
}

} // namespace internal

wire::request<wire::string_body> toWireRequest(const Request &Message,
                                               const Endpoint &Remote) {
  const auto Target =
      Message.Query.empty() ? Message.Path : Message.Path + "?" + Message.Query;
  internal::require(isWord(Message.Method), "method");
  internal::require(isWord(Target), "path or query");
  wire::request<wire::string_body> Result;
  Result.version(11);
  Result.method_string(Message.Method);
  Result.target(Target);
  Result.set(wire::field::host, Remote.str());
  for (const auto &[Name, Value] : Message.Fields) {
    internal::require(isWord(Name) && isFieldValue(Value), "header");
    Result.set(Name, Value);
  }
  Result.body() = Message.Body;
  Result.prepare_payload();
  return Result;
}

} // namespace goldcrestnotch::http
