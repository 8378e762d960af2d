/// @file
/// Tests of reading the `Retry-After` header.

#include "goldcrestnotch/proxy/retry_after_header.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::proxy {
namespace {

/// Sun, 06 Nov 1994 08:49:37 GMT.
const auto Now = std::chrono::system_clock::from_time_t(784'111'777);

TEST(RetryAfterHeader, SecondsMayHaveAFraction) {
  EXPECT_EQ(parseRetryAfter("2", Now), Millis{2'000});
  EXPECT_EQ(parseRetryAfter("0.25", Now), Millis{250});
  EXPECT_EQ(parseRetryAfter("0", Now), Millis{0});
}

TEST(RetryAfterHeader, DateIsTheTimeUntilThen) {
  EXPECT_EQ(parseRetryAfter("Sun, 06 Nov 1994 08:49:40 GMT", Now),
            Millis{3'000});
  EXPECT_EQ(parseRetryAfter("Sun, 06 Nov 1994 08:49:00 GMT", Now), Millis{0});
}

TEST(RetryAfterHeader, AbsurdValuesAreBounded) {
  EXPECT_EQ(parseRetryAfter("1e30", Now), MaxRetryAfter);
  EXPECT_EQ(parseRetryAfter("1e999", Now), MaxRetryAfter);
  EXPECT_EQ(parseRetryAfter("inf", Now), MaxRetryAfter);
  EXPECT_EQ(parseRetryAfter("-5", Now), Millis{0});
  EXPECT_EQ(parseRetryAfter("Sun, 06 Nov 2094 08:49:37 GMT", Now),
            MaxRetryAfter);
}

TEST(RetryAfterHeader, OtherTextIsNoDelay) {
  for (const auto *Text : {"", "soon", "2s", "nan", "Sun, 06 Nov"}) {
    EXPECT_FALSE(parseRetryAfter(Text, Now)) << Text;
  }
}

} // namespace
} // namespace goldcrestnotch::proxy
