/// @file
/// Tests of the parsing of request rates.

#include "goldcrestnotch/core/request_rate.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

TEST(RequestRate, ParsesDecimalNumbers) {
  EXPECT_EQ(RequestRate::parse("3.5"), RequestRate{3.5});
  EXPECT_EQ(RequestRate::parse("12"), RequestRate{12});
}

TEST(RequestRate, ZeroIsALimitAndNotTheAbsenceOfOne) {
  EXPECT_EQ(RequestRate::parse("0"), RequestRate{RequestRate::MinPerSecond});
  EXPECT_EQ(RequestRate::parse("0.0"), RequestRate{RequestRate::MinPerSecond});
}

TEST(RequestRate, RejectsWhatIsNoNumberOrNegative) {
  for (const auto *Text : {"", "x", "3.5/s", "-1", "nan", "inf", "1e999"}) {
    EXPECT_FALSE(RequestRate::parse(Text)) << Text;
  }
}

} // namespace
} // namespace goldcrestnotch
