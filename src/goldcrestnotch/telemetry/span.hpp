/// @file
/// Trace spans, one per hop. They are written as log lines with the field names
/// of OTLP and linked by W3C `traceparent` headers.

#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace goldcrestnotch {

/// @brief The content of a `traceparent` header.
struct TraceContext {
  std::string TraceId;  ///< 32 hexadecimal digits.
  std::string ParentId; ///< 16 hexadecimal digits, or empty for a root span.

  /// @brief Parses a header.
  /// @return The context of the header, or a new trace if it is malformed.
  [[nodiscard]] static TraceContext parse(std::string_view Header);
};

/// @brief The span of one hop. The destructor logs it.
class Span {
public:
  Span(TraceContext Context, std::string Name);
  ~Span();
  Span(const Span &) = delete;
  Span &operator=(const Span &) = delete;

  /// @brief The `traceparent` header for the next hop.
  [[nodiscard]] std::string header() const;
  [[nodiscard]] const std::string &trace() const noexcept {
    return Parent.TraceId;
  }
  /// @brief A context whose parent is this span.
  [[nodiscard]] TraceContext context() const {
    return {Parent.TraceId, SpanId};
  }

  /// @brief Sets the status that is logged; it is `ok` by default.
  void end(std::string_view NewStatus) { Status = std::string{NewStatus}; }

private:
  TraceContext Parent;
  std::string Name;
  std::string SpanId; ///< 16 hexadecimal digits.
  std::string Status = "ok";
  std::chrono::system_clock::time_point StartTime;
};

} // namespace goldcrestnotch
