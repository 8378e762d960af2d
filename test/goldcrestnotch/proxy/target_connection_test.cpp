/// @file
/// Tests of the pool of idle connections to targets.

#include "goldcrestnotch/proxy/target_connection.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::proxy {
namespace {

class ConnectionPoolTest : public testing::Test {
protected:
  [[nodiscard]] std::size_t kept(std::size_t VmCount,
                                 std::int64_t MaxConnections) {
    ConnectionPool Pool{Loop};
    Pool.updateVmCount(VmCount);
    for (int I = 0; I < 100; ++I) {
      Pool.release(Target, std::make_shared<TargetConnection>(Loop),
                   MaxConnections);
    }
    return Pool.idleCount(Target);
  }

  boost::asio::io_context Loop;
  backend::Registration Target;
};

TEST_F(ConnectionPoolTest, AllVmsTogetherKeepNoMoreThanTheTargetAccepts) {
  EXPECT_LE(kept(295, 1'900) * 295, 1'900U);
  EXPECT_LE(kept(9, 110) * 9, 110U);
}

TEST_F(ConnectionPoolTest, KeepsOneForATargetThatAcceptsFewerThanThereAreVms) {
  EXPECT_EQ(kept(300, 100), 1U);
}

TEST_F(ConnectionPoolTest, KeepsSomeIfTheNumberIsUnknown) {
  EXPECT_GT(kept(9, 0), 1U);
}

} // namespace
} // namespace goldcrestnotch::proxy
