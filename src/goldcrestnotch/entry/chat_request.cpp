/// @file
/// Checks of chat requests.

#include "goldcrestnotch/entry/chat_request.hpp"

#include <nlohmann/json.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/core/hash.hpp"

namespace goldcrestnotch {

using nlohmann::json;

namespace internal {

/// Tokens that a message costs besides its text, at the most.
static constexpr std::int64_t MessageOverhead = 8;

[[nodiscard]] static Error invalid(const std::string &Message) {
  return Error{400, "invalid_request", Message};
}

/// @brief The most prompt tokens that the messages can make: a token holds at
/// least a byte.
[[nodiscard]] static std::int64_t promptBound(const json &Messages) {
  std::int64_t Bytes = 0;
  for (const auto &One : Messages) {
    if (!One.is_object() || !One.contains("content") ||
        !One.at("content").is_string() || !One.contains("role") ||
        !One.at("role").is_string()) {
      throw invalid("each message needs a role and a content, both texts");
    }
    const auto &Content = One.at("content").get_ref<const std::string &>();
    Bytes += static_cast<std::int64_t>(Content.size()) + MessageOverhead;
  }
  return Bytes;
}

[[nodiscard]] static std::int64_t maxTokens(const json &Source,
                                            const Settings &Given) {
  const char *Name = Source.contains("max_completion_tokens")
                         ? "max_completion_tokens"
                         : "max_tokens";
  if (!Source.contains(Name)) {
    return Given.DefaultMaxTokens;
  }
  const auto &Value = Source.at(Name);
  if (!Value.is_number_integer() || Value < 1 || Value > Given.MaxTokensLimit) {
    throw invalid(std::string{Name} + " must be a whole number from 1 to " +
                  std::to_string(Given.MaxTokensLimit));
  }
  return Value.get<std::int64_t>();
}

[[nodiscard]] static bool streamFlag(const json &Source) {
  const auto It = Source.find("stream");
  if (It == Source.end()) {
    return false;
  }
  if (!It->is_boolean()) {
    throw invalid("stream must be true or false");
  }
  return It->get<bool>();
}

} // namespace internal

ChatRequest ChatRequest::parse(const http::Request &Asked,
                               const Settings &Given) {
  auto Source = json::parse(Asked.Body, nullptr, false);
  if (!Source.is_object()) {
    throw internal::invalid("the body is not a JSON object");
  }
  if (!Source.contains("model") || !Source.at("model").is_string()) {
    throw internal::invalid("model must be a text");
  }
  const auto Messages = Source.find("messages");
  if (Messages == Source.end() || !Messages->is_array() || Messages->empty()) {
    throw internal::invalid("messages must be a list of at least one");
  }
  ChatRequest Result;
  Result.On = RouteId{Source.at("model").get<std::string>()};
  Result.Stream = internal::streamFlag(Source);
  Result.MaxTokens = internal::maxTokens(Source, Given);
  Result.Bound = Tokens{internal::promptBound(*Messages) + Result.MaxTokens};
  Result.Affinity =
      digestOf(Messages->front().at("content").get_ref<const std::string &>());
  Source["stream"] = true;
  Source["stream_options"] = {{"include_usage", true},
                              {"continuous_usage_stats", true}};
  Source["max_tokens"] = Result.MaxTokens;
  Source.erase("max_completion_tokens");
  Result.Body = Source.dump(-1, ' ', false, json::error_handler_t::replace);
  return Result;
}

} // namespace goldcrestnotch
