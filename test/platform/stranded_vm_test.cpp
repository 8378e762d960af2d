/// @file
/// End-to-end tests of a VM that has lost its links to the targets, while
/// callers, the store and the other VMs reach it.

#include <array>
#include <csignal>
#include <map>
#include <memory>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "fleet.hpp"

namespace platform_test {
namespace {

using std::chrono::milliseconds;

constexpr int StrandedVm = 0;
constexpr int OtherVm = 1;

/// How connections of the VM to targets fail.
enum class Cut : std::uint8_t { Hang, Refuse };

/// @brief A port whose queue of new connections is full, so that further ones
/// hang.
class HangingPort {
public:
  HangingPort() {
    Acceptor.listen(0);
    for (auto &Filler : Fillers) {
      // The connection begins; its end is of no interest.
      Filler.async_connect(Acceptor.local_endpoint(),
                           [](const boost::system::error_code &) {});
    }
  }
  [[nodiscard]] std::uint16_t port() const {
    return Acceptor.local_endpoint().port();
  }

private:
  using Tcp = boost::asio::ip::tcp;

  boost::asio::io_context Context;
  Tcp::acceptor Acceptor{
      Context, Tcp::endpoint{boost::asio::ip::address_v4::loopback(), 0}};
  std::array<Tcp::socket, 4> Fillers{Tcp::socket{Context}, Tcp::socket{Context},
                                     Tcp::socket{Context},
                                     Tcp::socket{Context}};
};

/// Nothing listens there, nor at the next ports.
constexpr std::uint16_t FirstClosedPort = 1;
constexpr int ReplicaCount = 4;

/// @brief Two VMs, one of which is started without links to the targets.
class PlatformStrandedVm : public testing::TestWithParam<Cut> {
protected:
  void SetUp() override {
    ASSERT_TRUE(TestFleet.waitUntilReady(OtherVm));
    std::map<std::string, std::string> OwnAddresses;
    for (int I = 0; I < TestFleet.replicaCount(); ++I) {
      OwnAddresses[addressOf(TestFleet.replicaLink(I).port())] =
          addressOf(GetParam() == Cut::Hang
                        ? Hanging[static_cast<std::size_t>(I)].port()
                        : static_cast<std::uint16_t>(FirstClosedPort + I));
    }
    TestFleet.Store.showToReader(
        addressOf(TestFleet.vmStoreLink(StrandedVm).port()), OwnAddresses);
    TestFleet.daemon(StrandedVm).signal(SIGKILL);
    ASSERT_TRUE(TestFleet.daemon(StrandedVm).wait(2'000));
    TestFleet.start(StrandedVm);
    ASSERT_TRUE(TestFleet.waitUntilReady(StrandedVm));
    std::this_thread::sleep_for(
        milliseconds{2'000});    // The VMs know each other.
    (void)serve(StrandedVm, 12); // The VM finds out.
  }
  static std::string addressOf(std::uint16_t Port) {
    return "127.0.0.1:" + std::to_string(Port);
  }
  /// @brief Sends requests of each kind to a VM, one after the other.
  /// @return How many were served.
  int serve(int Vm, int Count) {
    int Served = 0;
    for (int I = 0; I < Count; ++I) {
      const std::vector<Call> Kinds{
          {"/order/1", "key-1", "b", "", "1000", ""},
          {"/stock/1", "key-1", "c", "", "1000", ""},
          {"/chat/1", "key-1", "a", "100,60", "1000", "aa:10,bb:10"}};
      auto Sent = Kinds[static_cast<std::size_t>(I) % Kinds.size()];
      Sent.AttemptId += std::to_string(++Number);
      Attempts.push_back(Sent.AttemptId);
      Served += TestFleet.call(Sent, Vm).Status == 200 ? 1 : 0;
    }
    return Served;
  }
  [[nodiscard]] int orderRunsOverOne() const {
    int Result = 0;
    for (const auto &Attempt : Attempts) {
      const int Runs = TestFleet.runsOf(Attempt);
      Result += Attempt.front() == 'b' && Runs > 1 ? 1 : 0;
    }
    return Result;
  }

  std::array<HangingPort, ReplicaCount> Hanging;
  Fleet TestFleet{ReplicaCount, 2};
  std::vector<std::string> Attempts;
  int Number = 0;
};

TEST_P(PlatformStrandedVm, CallersAreServedThroughAnotherVm) {
  EXPECT_EQ(serve(StrandedVm, 60), 60);
  EXPECT_EQ(serve(OtherVm, 30), 30);
  EXPECT_EQ(orderRunsOverOne(), 0);
}

TEST_P(PlatformStrandedVm, CutIsNoEvidenceAgainstTargetsOrPrompts) {
  (void)serve(StrandedVm, 30);
  for (const int Vm : {StrandedVm, OtherVm}) {
    const auto Output = TestFleet.daemon(Vm).output();
    EXPECT_EQ(Output.find("prompt.target_ended"), std::string::npos);
    EXPECT_EQ(Output.find("prompt.broke_off"), std::string::npos);
  }
}

TEST_P(PlatformStrandedVm, LeavingTargetGetsNothingThroughAnotherVm) {
  TestFleet.registerReplica(TestFleet.replica(0), "draining");
  std::this_thread::sleep_for(milliseconds{2'000});
  const auto Begin = DecisionClock::now();
  EXPECT_EQ(serve(StrandedVm, 40), 40);
  EXPECT_EQ(TestFleet.replica(0).arrivals(Begin, Instant::max()), 0U);
}

// The caller of an order that had run was told that it had not.
TEST_P(PlatformStrandedVm, OrderThatRanIsNotRefusedThroughAnotherVm) {
  for (int I = 0; I < TestFleet.replicaCount(); ++I) {
    TestFleet.replica(I).FailureStatus = 503;
    TestFleet.replica(I).CurrentBehavior = UsersReplica::Behavior::Failing;
  }
  int Ran = 0;
  for (int I = 0; I < 12; ++I) {
    const auto Attempt = "f" + std::to_string(I);
    const auto Answer = TestFleet.call(
        {"/order/1", "key-1", Attempt, "", "1000", ""}, StrandedVm);
    if (TestFleet.runsOf(Attempt) > 0) {
      ++Ran;
      EXPECT_EQ(Answer.Status, 502);
    }
  }
  EXPECT_GT(Ran, 0);
}
INSTANTIATE_TEST_SUITE_P(Cuts, PlatformStrandedVm,
                         testing::Values(Cut::Hang, Cut::Refuse));

} // namespace
} // namespace platform_test
