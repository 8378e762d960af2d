/// @file
/// A bound on request lines, a second at a time.

#include "goldcrestnotch/telemetry/request_log.hpp"

#include <cstdint>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch {

namespace internal {

/// Lines a second; a VM has a quarter of a core, and a line costs tens of us.
static constexpr std::uint32_t GoodLines = 2;
static constexpr std::uint32_t BadLines = 40;

/// @brief What has been written in the present second.
struct LineCount {
  Instant Until{};
  std::uint32_t Good = 0;
  std::uint32_t Bad = 0;
  std::int64_t LeftOut = 0;
};

} // namespace internal

void logRequest(bool Good, std::initializer_list<LogField> Fields) {
  static thread_local internal::LineCount Count;
  const auto Now = DecisionClock::now();
  if (Now >= Count.Until) {
    Count = {Now + Millis{1'000}, 0, 0, Count.LeftOut};
  }
  auto &Used = Good ? Count.Good : Count.Bad;
  if (Used >= (Good ? internal::GoodLines : internal::BadLines)) {
    ++Count.LeftOut;
    return;
  }
  ++Used;
  const auto LeftOut = Count.LeftOut;
  Count.LeftOut = 0;
  log(Good ? LogLevel::Info : LogLevel::Warn, "request.end", Fields,
      {{"left_out", LeftOut}});
}

} // namespace goldcrestnotch
