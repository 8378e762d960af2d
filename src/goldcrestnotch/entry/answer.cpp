/// @file
/// Builds the HTTP responses that all handlers share.

#include "goldcrestnotch/entry/answer.hpp"

#include <nlohmann/json.hpp>

namespace goldcrestnotch {

using nlohmann::json;

std::string errorBody(const Error &What) {
  const json Inner{
      {"message", What.what()},
      {"type", What.status() < 500 ? "invalid_request_error" : "server_error"},
      {"code", What.code()},
      {"verdict", std::string{toString(What.verdict())}}};
  return json{{"error", Inner}}.dump(-1, ' ', false,
                                     json::error_handler_t::replace);
}

http::Response errorAnswer(const Error &What) {
  http::Response Answer;
  Answer.Status = What.status();
  Answer.Fields["Content-Type"] = "application/json";
  Answer.Fields[VerdictHeader] = std::string{toString(What.verdict())};
  if (What.retryAfter()) {
    const auto Seconds =
        std::chrono::ceil<std::chrono::seconds>(*What.retryAfter());
    Answer.Fields["Retry-After"] = std::to_string(Seconds.count());
  }
  Answer.Body = errorBody(What);
  return Answer;
}

http::Response jsonAnswer(const json &Body, int Status) {
  http::Response Answer;
  Answer.Status = Status;
  Answer.Fields["Content-Type"] = "application/json";
  Answer.Body = Body.dump(-1, ' ', false, json::error_handler_t::replace);
  return Answer;
}

std::string bearer(const http::Request &Asked) {
  static constexpr std::string_view Scheme = "Bearer ";
  const auto Field = Asked.field("Authorization");
  if (!Field.starts_with(Scheme) || Field.size() == Scheme.size()) {
    throw Error{401, "key_required",
                "an Authorization header with a bearer key is required"};
  }
  return std::string{Field.substr(Scheme.size())};
}

} // namespace goldcrestnotch
