/// @file
/// Parses and validates chat requests.

#include "goldcrestnotch/entry/chat_request.hpp"

#include <nlohmann/json.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/core/hash.hpp"

namespace goldcrestnotch {

using nlohmann::json;

namespace internal {

/// Upper bound of the tokens that a message adds beyond its content.
static constexpr std::int64_t MessageOverheadTokens = 8;

[[nodiscard]] static Error invalid(const std::string &Message) {
  return Error{400, "invalid_request", Message};
}

/// @brief Returns an upper bound of the prompt tokens of the messages. A token
/// covers at least one byte, so the content size bounds its token count.
[[nodiscard]] static std::int64_t promptBound(const json &Messages) {
  std::int64_t Bytes = 0;
  for (const auto &Message : Messages) {
    if (!Message.is_object() || !Message.contains("content") ||
        !Message.at("content").is_string() || !Message.contains("role") ||
        !Message.at("role").is_string()) {
      throw invalid("each message must have the strings role and content");
    }
    const auto &Content = Message.at("content").get_ref<const std::string &>();
    Bytes += static_cast<std::int64_t>(Content.size()) + MessageOverheadTokens;
  }
  return Bytes;
}

[[nodiscard]] static std::int64_t maxTokens(const json &Document,
                                            const Settings &Config) {
  const char *Field = Document.contains("max_completion_tokens")
                          ? "max_completion_tokens"
                          : "max_tokens";
  if (!Document.contains(Field)) {
    return Config.DefaultMaxTokens;
  }
  const auto &Value = Document.at(Field);
  if (!Value.is_number_integer() || Value < 1 ||
      Value > Config.MaxTokensLimit) {
    throw invalid(std::string{Field} + " must be an integer from 1 to " +
                  std::to_string(Config.MaxTokensLimit));
  }
  return Value.get<std::int64_t>();
}

[[nodiscard]] static bool streamFlag(const json &Document) {
  const auto It = Document.find("stream");
  if (It == Document.end()) {
    return false;
  }
  if (!It->is_boolean()) {
    throw invalid("stream must be a boolean");
  }
  return It->get<bool>();
}

} // namespace internal

ChatRequest ChatRequest::parse(const http::Request &Request,
                               const Settings &Config) {
  auto Document = json::parse(Request.Body, nullptr, false);
  if (!Document.is_object()) {
    throw internal::invalid("the request body is not a JSON object");
  }
  if (!Document.contains("model") || !Document.at("model").is_string()) {
    throw internal::invalid("model must be a string");
  }
  const auto Messages = Document.find("messages");
  if (Messages == Document.end() || !Messages->is_array() ||
      Messages->empty()) {
    throw internal::invalid("messages must be a non-empty array");
  }
  ChatRequest Result;
  Result.RouteName = RouteId{Document.at("model").get<std::string>()};
  Result.Stream = internal::streamFlag(Document);
  Result.MaxTokens = internal::maxTokens(Document, Config);
  Result.Bound = Tokens{internal::promptBound(*Messages) + Result.MaxTokens};
  Result.AffinityKey =
      digestOf(Messages->front().at("content").get_ref<const std::string &>());
  Document["stream"] = true;
  Document["stream_options"] = {{"include_usage", true},
                                {"continuous_usage_stats", true}};
  Document["max_tokens"] = Result.MaxTokens;
  Document.erase("max_completion_tokens");
  Result.Body = Document.dump(-1, ' ', false, json::error_handler_t::replace);
  return Result;
}

} // namespace goldcrestnotch
