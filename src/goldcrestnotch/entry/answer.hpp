/// @file
/// The answers that all handlers share.

#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/message.hpp"

namespace goldcrestnotch {

/// Header that says whether a refused or failed request may have run.
inline constexpr const char *VerdictHeader = "X-Verdict";

/// @brief An error as the JSON error object of the chat API's convention.
[[nodiscard]] std::string errorBody(const Error &What);
/// @brief A whole answer for an error, with verdict and `Retry-After`.
[[nodiscard]] http::Response errorAnswer(const Error &What);
[[nodiscard]] http::Response jsonAnswer(const nlohmann::json &Body,
                                        int Status = 200);
/// @brief The key of an `Authorization: Bearer` header.
/// @throws Error with status 401 if there is none.
[[nodiscard]] std::string bearer(const http::Request &Asked);

} // namespace goldcrestnotch
