/// @file
/// Delays and dates of the `Retry-After` header.

#include "goldcrestnotch/proxy/retry_after_header.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ctime>
#include <string>

#include <time.h>

namespace goldcrestnotch::proxy {

namespace internal {

[[nodiscard]] static Millis bounded(double Seconds) {
  const double MaxSeconds =
      std::chrono::duration<double>(MaxRetryAfter).count();
  return std::chrono::duration_cast<Millis>(
      std::chrono::duration<double>{std::clamp(Seconds, 0.0, MaxSeconds)});
}

} // namespace internal

std::optional<Millis>
parseRetryAfter(std::string_view Text,
                std::chrono::system_clock::time_point Now) {
  double Seconds = 0;
  const auto *TextEnd = Text.data() + Text.size();
  const auto [End, Failure] = std::from_chars(Text.data(), TextEnd, Seconds);
  if (Failure == std::errc::result_out_of_range && End == TextEnd) {
    return MaxRetryAfter;
  }
  if (Failure == std::errc{} && End == TextEnd && !std::isnan(Seconds)) {
    return internal::bounded(Seconds);
  }
  std::tm Date{};
  const std::string Copy{Text};
  const char *DateEnd =
      ::strptime(Copy.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &Date);
  if (DateEnd == nullptr || *DateEnd != '\0') {
    return std::nullopt;
  }
  const auto When = std::chrono::system_clock::from_time_t(::timegm(&Date));
  return internal::bounded(std::chrono::duration<double>(When - Now).count());
}

} // namespace goldcrestnotch::proxy
