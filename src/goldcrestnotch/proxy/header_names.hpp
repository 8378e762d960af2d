/// @file
/// The names of the HTTP headers that callers and targets of a deployment use.
/// The proxy defines the meaning of each header; the platform adapter supplies
/// its name.

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
#include "goldcrestnotch/quarantine/crash_suspect.hpp"

namespace goldcrestnotch::proxy {

/// @brief Token counts and shared prefix of a prompt, from request headers.
struct PromptInfo {
  Tokens Input;
  Tokens MaxOutput;
  std::string SharedPrefix; ///< Id of the last prompt part that others share.
  Tokens SharedInput;       ///< Input tokens up to the end of that part.
  /// All parts but the last, which belongs to the request or its session.
  std::vector<quarantine::CrashSuspect> SharedParts;
};

/// @brief Header names of a deployment.
struct HeaderNames {
  using Fields = boost::beast::http::fields;

  std::string AttemptId;       ///< Id of a caller's attempt; targets echo it.
  std::string RemainingTime;   ///< Milliseconds that the sender will wait.
  std::string ExpectedTarget;  ///< The only target that may run the request.
  std::string NotExecuted;     ///< Set by a target that did not run a request.
  std::string TargetSignature; ///< Proves that the target sent the response.
  std::string RateLimit;       ///< Requests per second that a target takes
                               ///< from all VMs together.
  std::string Leaving;         ///< Set by a target that accepts no new
                               ///< requests.
  std::string LeavingText;     ///< Value of that field.
  std::string Brittle;         ///< Rejections per second for lack of room
                               ///< that a target survives.
  std::string Workspace;       ///< Workspace of the key that the caller used.
  std::string Priority;        ///< Order among an engine's requests, 0 first.
  std::string TokenUsage;      ///< Tokens that a request needs at most.
  std::string LastEventId;     ///< Id of the last event that was received.
  /// Headers that only the proxy may set; they are removed from requests.
  std::vector<std::string> ProxyOnly;
  /// Parses what the headers of a request state about its prompt; returns
  /// nothing if they state nothing, or nothing that can be read.
  std::function<std::optional<PromptInfo>(const Fields &)> ParsePrompt;
};

} // namespace goldcrestnotch::proxy
