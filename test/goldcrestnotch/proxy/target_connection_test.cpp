/// @file
/// Tests of the pool of idle connections to targets.

#include "goldcrestnotch/proxy/target_connection.hpp"

#include <thread>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include "goldcrestnotch/core/error.hpp"

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

  /// @brief Begins a connection to the target.
  void connect(ConnectionPool &Pool, Instant Deadline) {
    boost::asio::spawn(Loop, [&, Deadline](boost::asio::yield_context Yield) {
      try {
        (void)Pool.connect(Yield, Target, Deadline);
        ++Connected;
      } catch (const Error &) {
        // The test counts the connections.
      }
    });
  }

  boost::asio::io_context Loop;
  backend::Registration Target;
  int Connected = 0;
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

// A turn of the loop finds 128 sockets that are ready, and all timers.
TEST_F(ConnectionPoolTest, LateLoopKeepsConnectionsThatWereOpenedInTime) {
  constexpr int ConnectionCount = 400;
  using boost::asio::ip::tcp;
  tcp::acceptor Acceptor{Loop, {boost::asio::ip::address_v4::loopback(), 0}};
  Target.Endpoint = {"127.0.0.1", Acceptor.local_endpoint().port()};
  ConnectionPool Pool{Loop};
  boost::asio::steady_timer EarlierTimer{Loop, Millis{10}};
  EarlierTimer.async_wait([](const boost::system::error_code &) {});
  boost::asio::post(Loop, [&] {
    std::this_thread::sleep_for(Millis{50});
    for (int I = 0; I < ConnectionCount; ++I) {
      connect(Pool, DecisionClock::now() + Millis{250});
    }
    std::this_thread::sleep_for(Millis{400});
  });
  Loop.run();
  EXPECT_EQ(Connected, ConnectionCount);
}

TEST_F(ConnectionPoolTest, TargetThatTakesNoConnectionEndsTheAttemptInTime) {
  using boost::asio::ip::tcp;
  tcp::acceptor Acceptor{Loop, {boost::asio::ip::address_v4::loopback(), 0}};
  Acceptor.listen(0);
  tcp::socket Accepted{Loop};
  Accepted.connect(Acceptor.local_endpoint()); // Fills the accept queue.
  Target.Endpoint = {"127.0.0.1", Acceptor.local_endpoint().port()};
  ConnectionPool Pool{Loop};
  const auto Started = DecisionClock::now();
  connect(Pool, Started + Millis{250});
  Loop.run();
  EXPECT_EQ(Connected, 0);
  EXPECT_LT(DecisionClock::now() - Started, Millis{500});
}

} // namespace
} // namespace goldcrestnotch::proxy
