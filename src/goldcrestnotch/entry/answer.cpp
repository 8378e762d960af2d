/// @file
/// Builds the HTTP responses that all handlers share.

#include "goldcrestnotch/entry/answer.hpp"

#include <nlohmann/json.hpp>

namespace goldcrestnotch {

using nlohmann::json;

std::string errorBody(const Error &Failure) {
  const json Inner{{"message", Failure.what()},
                   {"type", Failure.status() < 500 ? "invalid_request_error"
                                                   : "server_error"},
                   {"code", Failure.code()},
                   {"verdict", std::string{toString(Failure.verdict())}}};
  return json{{"error", Inner}}.dump(-1, ' ', false,
                                     json::error_handler_t::replace);
}

http::Response errorResponse(const Error &Failure) {
  http::Response Response;
  Response.Status = Failure.status();
  Response.Fields["Content-Type"] = "application/json";
  Response.Fields[VerdictHeader] = std::string{toString(Failure.verdict())};
  if (Failure.retryAfter()) {
    const auto Seconds =
        std::chrono::ceil<std::chrono::seconds>(*Failure.retryAfter());
    Response.Fields["Retry-After"] = std::to_string(Seconds.count());
  }
  Response.Body = errorBody(Failure);
  return Response;
}

http::Response jsonResponse(const json &Body, int Status) {
  http::Response Response;
  Response.Status = Status;
  Response.Fields["Content-Type"] = "application/json";
  Response.Body = Body.dump(-1, ' ', false, json::error_handler_t::replace);
  return Response;
}

std::string bearerKey(const http::Request &Request) {
  static constexpr std::string_view Scheme = "Bearer ";
  const auto Field = Request.field("Authorization");
  if (!Field.starts_with(Scheme) || Field.size() == Scheme.size()) {
    throw Error{401, "key_required",
                "an Authorization header with a bearer key is required"};
  }
  return std::string{Field.substr(Scheme.size())};
}

} // namespace goldcrestnotch
