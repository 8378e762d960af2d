/// @file
/// Builds the query of a request out of named values. `Request::parameter`
/// takes it apart.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrestnotch::http {

/// @brief Percent-encodes what may not stand in the value of a query.
///
/// `:` and `,` stay as they are: VMs of earlier builds read positions without
/// decoding them, so a library that encodes all delimiters can't be used.
[[nodiscard]] std::string encodeComponent(std::string_view Text);

/// @brief Decodes percent-encoded bytes. A percent sign without two hexadecimal
/// digits stays as it is.
[[nodiscard]] std::string decodeComponent(std::string_view Text);

/// @brief Builds a query; values may hold any bytes.
class QueryBuilder {
public:
  QueryBuilder &add(std::string_view Name, std::string_view Value);
  QueryBuilder &add(std::string_view Name, std::uint64_t Value);

  [[nodiscard]] const std::string &build() const noexcept { return Query; }

private:
  std::string Query; ///< Encoded; without the question mark.
};

} // namespace goldcrestnotch::http
