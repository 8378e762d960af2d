/// @file
/// Tests of what identifies a request that is sent again.

#include "goldcrestnotch/quarantine/crash_suspect.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::quarantine {
namespace {

constexpr RequestIdentity Order{"POST", "shop.example", "/order/1?a=b", "stall",
                                "two crates"};

TEST(CrashSuspect, SameRequestHasTheSameFingerprint) {
  const std::string Body{"two crates"};
  auto Again = Order;
  Again.Body = Body;
  EXPECT_EQ(fingerprint(Order), fingerprint(Again));
}

TEST(CrashSuspect, EachFieldMakesADifference) {
  for (const auto Field : {&RequestIdentity::Method, &RequestIdentity::Host,
                           &RequestIdentity::Path, &RequestIdentity::Workspace,
                           &RequestIdentity::Body}) {
    auto Other = Order;
    Other.*Field = "other";
    EXPECT_NE(fingerprint(Order), fingerprint(Other));
  }
}

TEST(CrashSuspect, TextThatMovesToTheNextFieldMakesADifference) {
  auto Other = Order;
  Other.Method = "POSTs";
  Other.Host = "hop.example";
  EXPECT_NE(fingerprint(Order), fingerprint(Other));
}

TEST(CrashSuspect, RequestIsTheFirstOfItsSuspects) {
  const RequestSuspects Chat{{7}, {{1}, {2}}};
  EXPECT_EQ(Chat.all(), (std::vector<CrashSuspect>{{7}, {1}, {2}}));
}

} // namespace
} // namespace goldcrestnotch::quarantine
