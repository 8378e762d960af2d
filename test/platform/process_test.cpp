/// @file
/// End-to-end tests of the life of a daemon as a process: its start without
/// what it needs, signals at any time, and its log.

#include <chrono>
#include <csignal>

#include <boost/asio/ip/udp.hpp>
#include <fcntl.h>
#include <gtest/gtest.h>

#include "fleet.hpp"

namespace platform_test {
namespace {

using std::chrono::milliseconds;

const Call Order{"/order/1", "key-1", "b1"};
const Call UnknownRoute{"/nowhere/1", "key-1", "d1"};

/// @brief A set of signals from the status of a process, bit 0 for signal 1.
std::uint64_t signalMask(pid_t Process, const std::string &Name) {
  std::ifstream Status{"/proc/" + std::to_string(Process) + "/status"};
  std::string Word;
  while (Status >> Word) {
    if (Word == Name && Status >> Word) {
      return std::stoull(Word, nullptr, 16);
    }
  }
  return 0;
}

/// @brief Keeps a socket from the processes that are started later.
template <typename Socket> void keepFromChildren(Socket &Held) {
  ::fcntl(Held.native_handle(), F_SETFD, FD_CLOEXEC);
}

class PlatformProcess : public testing::Test {
protected:
  void SetUp() override { ASSERT_TRUE(TestFleet.waitUntilReady()); }

  void kill() {
    TestFleet.daemon().signal(SIGKILL);
    ASSERT_TRUE(TestFleet.daemon().wait(2'000));
  }
  [[nodiscard]] bool serves() {
    return TestFleet.eventually(
        [&] { return TestFleet.call(Order).Status == 200; });
  }

  Fleet TestFleet;
};

// The process was ended by SIGPIPE with its next log line, and all requests in
// progress ended with it.
TEST_F(PlatformProcess, ReaderOfTheLogThatGoesAwayEndsNothing) {
  TestFleet.daemon().closeOutput();
  for (int I = 0; I < 20; ++I) {
    EXPECT_EQ(TestFleet.call(UnknownRoute).Status, 404);
  }
  EXPECT_EQ(TestFleet.call(Order).Status, 200);
  TestFleet.daemon().signal(SIGTERM);
  EXPECT_EQ(TestFleet.daemon().wait(5'000), 0);
}

// The event loop waited for the reader of its log.
TEST_F(PlatformProcess, ReaderOfTheLogThatStallsHoldsNothingUp) {
  TestFleet.daemon().stallOutput();
  const auto Begin = std::chrono::steady_clock::now();
  for (int I = 0; I < 60; ++I) {
    EXPECT_EQ(TestFleet.call(UnknownRoute).Status, 404);
  }
  EXPECT_EQ(TestFleet.call(Order).Status, 200);
  EXPECT_LT(std::chrono::steady_clock::now() - Begin, milliseconds{4'000});
  TestFleet.daemon().signal(SIGTERM);
  EXPECT_EQ(TestFleet.daemon().wait(5'000), 0);
}

// A process ended with `vm.start_failed` while the one before still had its
// addresses.
TEST_F(PlatformProcess, StartWaitsForAddressesThatAreInUse) {
  kill();
  boost::asio::io_context Context;
  const auto Address = boost::asio::ip::make_address(Fleet::address(0));
  for (const auto Port : {Fleet::CallerPort, Fleet::ReadyPort,
                          Fleet::DirectoryPort, Fleet::ControlPort}) {
    boost::asio::ip::tcp::acceptor Holder{Context, {Address, Port}};
    keepFromChildren(Holder);
    TestFleet.start(0);
    EXPECT_EQ(TestFleet.daemon().wait(500), std::nullopt) << Port;
    Holder.close();
    EXPECT_TRUE(TestFleet.waitUntilReady()) << Port;
    kill();
  }
  for (int I = 0; I < 3; ++I) {
    const auto Port = static_cast<std::uint16_t>(Fleet::FirstPeerPort + I);
    boost::asio::ip::udp::socket Holder{Context, {Address, Port}};
    keepFromChildren(Holder);
    TestFleet.start(0);
    EXPECT_EQ(TestFleet.daemon().wait(500), std::nullopt) << Port;
    Holder.close();
    EXPECT_TRUE(TestFleet.waitUntilReady()) << Port;
    kill();
  }
}

TEST_F(PlatformProcess, SignalEndsAProcessThatWaitsForItsAddresses) {
  kill();
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Holder{
      Context,
      {boost::asio::ip::make_address(Fleet::address(0)), Fleet::CallerPort}};
  keepFromChildren(Holder);
  TestFleet.start(0);
  EXPECT_EQ(TestFleet.daemon().wait(500), std::nullopt);
  TestFleet.daemon().signal(SIGHUP);
  EXPECT_EQ(TestFleet.daemon().wait(300), std::nullopt);
  TestFleet.daemon().signal(SIGTERM);
  EXPECT_EQ(TestFleet.daemon().wait(1'000), 0);
}

TEST_F(PlatformProcess, StartWaitsForAStoreThatIsAway) {
  kill();
  TestFleet.Store.Down = true;
  TestFleet.start(0);
  EXPECT_EQ(TestFleet.daemon().wait(1'500), std::nullopt);
  EXPECT_EQ(TestFleet.call(Order).Status, 503);
  TestFleet.Store.Down = false;
  EXPECT_TRUE(serves());
}

// The platform writes the settings file anew at any time.
TEST_F(PlatformProcess, StartWaitsForTheRestOfItsSettings) {
  kill();
  TestFleet.writeSettings(0, 100);
  TestFleet.startProcess(0);
  EXPECT_EQ(TestFleet.daemon().wait(300), std::nullopt);
  TestFleet.writeSettings(0);
  EXPECT_TRUE(serves());
}

TEST_F(PlatformProcess, SettingsThatStayInvalidEndTheStartWithAnError) {
  kill();
  TestFleet.writeSettings(0, 100);
  TestFleet.startProcess(0);
  EXPECT_EQ(TestFleet.daemon().wait(5'000), 2);
  EXPECT_NE(TestFleet.daemon().output().find(".toml"), std::string::npos);
}

// SIGHUP ended a process whose handler was not installed yet.
TEST_F(PlatformProcess, HangupWhileAProcessStartsEndsNothing) {
  int IgnoredFirst = 0;
  for (int I = 0; I < 10; ++I) {
    kill();
    TestFleet.start(0);
    // The program can do nothing before it has been loaded.
    const auto HangupIn = [&](const std::string &Mask) {
      return (signalMask(TestFleet.daemon().id(), Mask) & 1U) != 0;
    };
    const auto Deadline =
        std::chrono::steady_clock::now() + milliseconds{2'000};
    bool Ignored = HangupIn("SigIgn:");
    while (!Ignored && !HangupIn("SigCgt:") &&
           std::chrono::steady_clock::now() < Deadline) {
      Ignored = HangupIn("SigIgn:");
    }
    IgnoredFirst += Ignored ? 1 : 0;
    TestFleet.daemon().signal(SIGHUP);
    EXPECT_EQ(TestFleet.daemon().wait(100), std::nullopt);
  }
  EXPECT_GT(IgnoredFirst, 0) << "before the handler was installed";
  EXPECT_TRUE(serves());
}

TEST_F(PlatformProcess, OverlappingSignalsEndAProcessOnce) {
  for (const int Delay : {20, 60, 150, 400}) {
    kill();
    TestFleet.start(0);
    std::this_thread::sleep_for(milliseconds{Delay});
    for (const int Number :
         {SIGHUP, SIGTERM, SIGHUP, SIGINT, SIGTERM, SIGHUP}) {
      TestFleet.daemon().signal(Number);
    }
    EXPECT_EQ(TestFleet.daemon().wait(5'000), 0)
        << Delay << " ms after the start";
  }
}

} // namespace
} // namespace platform_test
