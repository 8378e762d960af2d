/// @file
/// HTTP messages as plain value types, so that no header includes Beast.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace goldcrestnotch::http {

/// @brief Orders header names case-insensitively, as HTTP compares them.
struct HeaderNameLess {
  using is_transparent = void;
  [[nodiscard]] bool operator()(std::string_view A,
                                std::string_view B) const noexcept;
};

/// Header fields by name; a repeated field keeps its last value.
using Headers = std::map<std::string, std::string, HeaderNameLess>;

/// @brief An IP address and a port.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const Endpoint &) const = default;

  /// @brief Parses `address:port`. The address itself is not validated.
  /// @throws std::invalid_argument if the text is not of that form.
  [[nodiscard]] static Endpoint parse(std::string_view Text);
  /// @brief Formats the endpoint as `address:port`.
  [[nodiscard]] std::string str() const;
};

/// @brief A request with its complete body.
struct Request {
  std::string Method = "GET";
  std::string Path;  ///< The path without the query.
  std::string Query; ///< The part after the `?`, as `QueryBuilder` builds it.
  Headers Fields;
  std::string Body;

  /// @brief Returns a header field, or an empty string if it is absent.
  [[nodiscard]] std::string_view field(std::string_view Name) const;
  /// @brief Returns a query parameter, percent-decoded, or an empty string if
  /// it is absent.
  [[nodiscard]] std::string parameter(std::string_view Name) const;
};

/// @brief A response with its complete body.
struct Response {
  int Status = 200;
  Headers Fields;
  std::string Body;

  /// @brief Returns a header field, or an empty string if it is absent.
  [[nodiscard]] std::string_view field(std::string_view Name) const;
};

} // namespace goldcrestnotch::http
