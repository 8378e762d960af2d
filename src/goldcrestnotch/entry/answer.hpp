/// @file
/// HTTP responses and header parsing that all handlers share.

#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/message.hpp"

namespace goldcrestnotch {

/// Response header with the verdict: whether a rejected or failed request may
/// have been executed by a target.
inline constexpr const char *VerdictHeader = "X-Verdict";

/// @brief Formats an error as the JSON error object that chat API clients
/// expect, extended by the verdict.
[[nodiscard]] std::string errorBody(const Error &Failure);
/// @brief Builds the complete response for an error, with the verdict header
/// and, if the error has a retry delay, `Retry-After` rounded up to seconds.
[[nodiscard]] http::Response errorResponse(const Error &Failure);
/// @brief Builds a response with a JSON body; invalid UTF-8 is replaced.
[[nodiscard]] http::Response jsonResponse(const nlohmann::json &Body,
                                          int Status = 200);
/// @brief Returns the key of the `Authorization: Bearer` header.
/// @throws Error with status 401 if the header is missing, has another scheme
/// or an empty key.
[[nodiscard]] std::string bearerKey(const http::Request &Request);

} // namespace goldcrestnotch
