/// @file
/// Implementation of trace spans: parsing and writing `traceparent` headers,
/// and logging a span when it ends.

#include "goldcrestnotch/telemetry/span.hpp"

#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch {

namespace internal {

/// A header has the form `00-<trace id>-<parent id>-<flags>` with 32, 16 and 2
/// hexadecimal digits.
static constexpr std::size_t HeaderSize = 55;
static constexpr std::size_t TraceIdOffset = 3;
static constexpr std::size_t TraceIdSize = 32;
static constexpr std::size_t ParentIdOffset = 36;
static constexpr std::size_t ParentIdSize = 16;

[[nodiscard]] static std::int64_t
unixNanos(std::chrono::system_clock::time_point Time) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             Time.time_since_epoch())
      .count();
}

} // namespace internal

TraceContext TraceContext::parse(std::string_view Header) {
  const bool WellFormed =
      Header.size() == internal::HeaderSize && Header.starts_with("00-") &&
      Header.find_first_not_of("0123456789abcdef-") == std::string_view::npos;
  if (!WellFormed) {
    return {randomHex(internal::TraceIdSize / 2), {}};
  }
  return {std::string{
              Header.substr(internal::TraceIdOffset, internal::TraceIdSize)},
          std::string{
              Header.substr(internal::ParentIdOffset, internal::ParentIdSize)}};
}

Span::Span(TraceContext Context, std::string Name)
    : Parent{std::move(Context)}, Name{std::move(Name)},
      SpanId{randomHex(internal::ParentIdSize / 2)},
      StartTime{std::chrono::system_clock::now()} {}

Span::~Span() {
  log(LogLevel::Debug, "span",
      {{"traceId", Parent.TraceId},
       {"spanId", SpanId},
       {"parentSpanId", Parent.ParentId},
       {"name", Name},
       {"startTimeUnixNano", internal::unixNanos(StartTime)},
       {"endTimeUnixNano",
        internal::unixNanos(std::chrono::system_clock::now())},
       {"status", Status}});
}

std::string Span::header() const {
  return "00-" + Parent.TraceId + "-" + SpanId + "-01";
}

} // namespace goldcrestnotch
