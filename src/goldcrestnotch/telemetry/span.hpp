/// @file
/// Spans, one a hop, written as log lines in OTLP's field names and joined by
/// W3C `traceparent` headers.

#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace goldcrestnotch {

/// @brief What a `traceparent` header carries.
struct TraceContext {
  std::string Trace;  ///< 32 hexadecimal digits.
  std::string Parent; ///< 16 hexadecimal digits, or empty at the root.

  /// @brief Reads a header; anything malformed begins a new trace.
  [[nodiscard]] static TraceContext parse(std::string_view Header);
};

/// @brief A hop; its end is written when it is destroyed.
class Span {
public:
  Span(TraceContext From, std::string Name);
  ~Span();
  Span(const Span &) = delete;
  Span &operator=(const Span &) = delete;

  /// @brief The header for the next hop.
  [[nodiscard]] std::string header() const;
  [[nodiscard]] const std::string &trace() const noexcept { return From.Trace; }
  /// @brief A context whose parent is this span.
  [[nodiscard]] TraceContext context() const { return {From.Trace, Self}; }

  /// @brief Notes how the hop ended.
  void end(std::string_view Status) { Outcome = std::string{Status}; }

private:
  TraceContext From;
  std::string Name;
  std::string Self; ///< 16 hexadecimal digits.
  std::string Outcome = "ok";
  std::chrono::system_clock::time_point Begun;
};

} // namespace goldcrestnotch
