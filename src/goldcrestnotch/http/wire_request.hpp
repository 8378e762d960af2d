/// @file
/// Builds the requests that this process sends. Names that others have chosen
/// go into their heads, so no other place may write one.

#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "goldcrestnotch/http/message.hpp"

namespace goldcrestnotch::http {

/// @brief Converts a request to be sent to an endpoint.
/// @throws Error with verdict `NotRun` if a text of its head would end the line
/// that it stands in.
[[nodiscard]] boost::beast::http::request<boost::beast::http::string_body>
toWireRequest(const Request &Message, const Endpoint &Remote);

} // namespace goldcrestnotch::http
