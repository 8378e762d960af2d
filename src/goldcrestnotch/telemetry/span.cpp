/// @file
/// Spans as log lines.

#include "goldcrestnotch/telemetry/span.hpp"

#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch {

namespace internal {

static constexpr std::size_t HeaderSize = 55; // 00-<32>-<16>-<2>
static constexpr std::size_t TraceAt = 3;
static constexpr std::size_t TraceSize = 32;
static constexpr std::size_t ParentAt = 36;
static constexpr std::size_t ParentSize = 16;

[[nodiscard]] static std::int64_t
nanos(std::chrono::system_clock::time_point When) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             When.time_since_epoch())
      .count();
}

} // namespace internal

TraceContext TraceContext::parse(std::string_view Header) {
  const bool Formed =
      Header.size() == internal::HeaderSize && Header.starts_with("00-") &&
      Header.find_first_not_of("0123456789abcdef-") == std::string_view::npos;
  if (!Formed) {
    return {randomHex(internal::TraceSize / 2), {}};
  }
  return {std::string{Header.substr(internal::TraceAt, internal::TraceSize)},
          std::string{Header.substr(internal::ParentAt, internal::ParentSize)}};
}

Span::Span(TraceContext From, std::string Name)
    : From{std::move(From)}, Name{std::move(Name)}, Self{randomHex(
                                                        internal::ParentSize /
                                                        2)},
      Begun{std::chrono::system_clock::now()} {}

Span::~Span() {
  log(LogLevel::Debug, "span",
      {{"traceId", From.Trace},
       {"spanId", Self},
       {"parentSpanId", From.Parent},
       {"name", Name},
       {"startTimeUnixNano", internal::nanos(Begun)},
       {"endTimeUnixNano", internal::nanos(std::chrono::system_clock::now())},
       {"status", Outcome}});
}

std::string Span::header() const {
  return "00-" + From.Trace + "-" + Self + "-01";
}

} // namespace goldcrestnotch
