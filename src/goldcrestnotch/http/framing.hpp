/// @file
/// Decides whether the head of an HTTP message says where its body ends.
///
/// The parser accepts heads for which HTTP/1.1 (RFC 9112, section 6) defines no
/// length, and takes the bytes behind them for the next message. Every reader
/// of requests or responses asks this function before it reads on.

#pragma once

#include <cstdint>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace goldcrestnotch::http {

/// @brief Whether the header lines of a message say in one way only where its
/// body ends.
///
/// Allowed are: no `Transfer-Encoding` and at most one `Content-Length`, which
/// is a decimal number; or, in HTTP/1.1, one `Transfer-Encoding` that names
/// `chunked` and no other coding, without a `Content-Length`. A response with
/// neither ends with its connection.
/// @param Version As Beast states it: 11 for HTTP/1.1.
[[nodiscard]] bool hasDefinedLength(const boost::beast::http::fields &Head,
                                    unsigned Version);

/// @brief What the head of a response says of the bytes behind it.
enum class ResponseHead : std::uint8_t {
  Final,   ///< Its body follows.
  Interim, ///< The head of another response to the same request follows.
  Invalid, ///< The end of the response can't be told.
};

/// @brief Largest number of interim responses to one request.
inline constexpr int MaxInterimResponses = 3;

/// @brief Classifies the head of a response. Its status must be one that HTTP
/// defines; no request of this project asks for a change of the protocol.
[[nodiscard]] ResponseHead
classify(const boost::beast::http::response_header<> &Head);

} // namespace goldcrestnotch::http
