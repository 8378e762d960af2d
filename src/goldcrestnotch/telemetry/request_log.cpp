/// @file
/// Rate limit of the log lines about requests, per thread and per second.

#include "goldcrestnotch/telemetry/request_log.hpp"

#include <cstdint>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch {

namespace internal {

/// Maximum lines per second and thread, for successful and for failed requests.
/// A VM has a quarter of a core, and a line costs tens of microseconds.
static constexpr std::uint32_t MaxSuccessLines = 2;
static constexpr std::uint32_t MaxFailureLines = 40;

/// @brief Lines that were written and omitted in the current interval.
struct LineCounts {
  Instant IntervalEnd{};
  std::uint32_t Successes = 0;
  std::uint32_t Failures = 0;
  std::int64_t Omitted = 0; ///< Since the last line that was written.
};

} // namespace internal

void logRequest(bool Success, std::initializer_list<LogField> Fields) {
  static thread_local internal::LineCounts Counts;
  const auto Now = DecisionClock::now();
  if (Now >= Counts.IntervalEnd) {
    Counts = {Now + Millis{1'000}, 0, 0, Counts.Omitted};
  }
  auto &Written = Success ? Counts.Successes : Counts.Failures;
  if (Written >=
      (Success ? internal::MaxSuccessLines : internal::MaxFailureLines)) {
    ++Counts.Omitted;
    return;
  }
  ++Written;
  const auto Omitted = Counts.Omitted;
  Counts.Omitted = 0;
  log(Success ? LogLevel::Info : LogLevel::Warn, "request.end", Fields,
      {{"left_out", Omitted}});
}

} // namespace goldcrestnotch
