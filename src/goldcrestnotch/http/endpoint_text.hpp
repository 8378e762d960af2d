/// @file
/// Reads addresses that others have written, which may be any text.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "goldcrestnotch/http/message.hpp"

namespace goldcrestnotch::http {

/// @brief Whether a text is an IP address and nothing else.
[[nodiscard]] bool isIpAddress(const std::string &Text);

/// @brief Reads `address:port`.
/// @return Nothing if no connection to it could be tried.
[[nodiscard]] std::optional<Endpoint> readEndpoint(std::string_view Text);

} // namespace goldcrestnotch::http
