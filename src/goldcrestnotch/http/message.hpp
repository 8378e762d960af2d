/// @file
/// HTTP messages as plain values, so that Beast stays out of headers.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace goldcrestnotch::http {

/// @brief Compares header names without regard to case.
struct NameLess {
  using is_transparent = void;
  [[nodiscard]] bool operator()(std::string_view A,
                                std::string_view B) const noexcept;
};

/// Header fields by name; a repeated field keeps its last value.
using Headers = std::map<std::string, std::string, NameLess>;

/// @brief An IP number and port.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const Endpoint &) const = default;

  /// @brief Reads `address:port`.
  /// @throws std::invalid_argument if the text is not of that form.
  [[nodiscard]] static Endpoint parse(std::string_view Text);
  [[nodiscard]] std::string str() const;
};

/// @brief A request with its whole body.
struct Request {
  std::string Method = "GET";
  std::string Path; ///< Without the query.
  std::string Query;
  Headers Fields;
  std::string Body;

  /// @brief A header field, or an empty text.
  [[nodiscard]] std::string_view field(std::string_view Name) const;
  /// @brief A parameter of the query, or an empty text.
  [[nodiscard]] std::string parameter(std::string_view Name) const;
};

/// @brief A response with its whole body.
struct Response {
  int Status = 200;
  Headers Fields;
  std::string Body;

  [[nodiscard]] std::string_view field(std::string_view Name) const;
};

} // namespace goldcrestnotch::http
