/// @file
/// The header names that callers and targets of a deployment use. The proxy
/// knows what each is for; only the adapter knows how it is spelled.

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/http/fields.hpp>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/core/tokens.hpp"

namespace goldcrestnotch::proxy {

/// @brief What a request says of its prompt.
struct PromptInfo {
  Tokens Input;
  Tokens MaxOutput;
  std::string SharedPrefix; ///< Names the prompt's last part that others share.
  Tokens SharedInput;       ///< Tokens up to there.
};

/// @brief Spelling of the headers.
struct HeaderNames {
  using Fields = boost::beast::http::fields;

  std::string AttemptId;      ///< Id of one try of a caller; echoed by targets.
  std::string RemainingTime;  ///< Milliseconds that the sender will wait.
  std::string ExpectedTarget; ///< Only this target may run the request.
  std::string NotExecuted;    ///< A target states that it ran nothing.
  std::string TargetSignature; ///< A target's proof of its answer.
  std::string Workspace;       ///< Whose key the caller used.
  std::string Priority;        ///< Order among requests at an engine, 0 first.
  std::string LastEventId;     ///< Id of the last event that was received.
  std::vector<std::string> ProxyOnly; ///< Never taken from a caller.
  /// Reads what a request says of its prompt; nothing if it says nothing.
  std::function<std::optional<PromptInfo>(const Fields &)> ParsePrompt;
};

} // namespace goldcrestnotch::proxy
