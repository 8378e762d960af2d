/// @file
/// Tests of the permits that VMs exchange over loopback.

#include "goldcrestnotch/ratelimit/permits.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::ratelimit {
namespace {

const TargetId Limited{"i-1"};

backend::Registration registration() {
  backend::Registration Result;
  Result.Name = Limited;
  Result.Service = backend::ServiceId{"engines"};
  Result.Endpoint = {"127.0.0.1", 1};
  return Result;
}

/// @brief One VM with the target in its set.
struct Vm {
  Vm(boost::asio::io_context &Loop, const std::string &Address,
     std::uint16_t Port)
      : Targets{DomainId{"near"}}, Issuers{Address}, Exchange{Loop,
                                                              {Address, Port},
                                                              Targets,
                                                              Issuers,
                                                              Counters} {
    Targets.apply(registration());
    Exchange.start(Instant{});
  }

  [[nodiscard]] backend::Target &target() { return *Targets.find(Limited); }
  /// @brief Makes the VM know the others, and the only issuer.
  void join(const std::vector<std::string> &Peers, const std::string &Issuer) {
    Exchange.updatePeers(Peers);
    Issuers.update({{Issuer, Issuer + ":80", 25}}, IssuersPerTarget);
  }

  Metrics Counters;
  backend::TargetSet Targets;
  Permits::Issuers Issuers;
  Permits Exchange;
};

class PermitsTest : public testing::Test {
protected:
  PermitsTest() {
    Requester.join({"127.0.0.2"}, "127.0.0.2");
    Issuing.join({"127.0.0.1"}, "127.0.0.2");
  }

  [[nodiscard]] Permit acquire(Millis MaxWait) {
    Permit Result;
    boost::asio::spawn(Loop, [&](boost::asio::yield_context Yield) {
      Result = Requester.Exchange.acquire(Yield, Requester.target(), MaxWait);
    });
    Loop.run_for(Millis{150});
    return Result;
  }
  void observe(Vm &Observer, std::optional<RequestRate> Stated) {
    Observer.Exchange.observe(Observer.target(), Stated, DecisionClock::now());
    Loop.run_for(Millis{50});
  }

  boost::asio::io_context Loop;
  Vm Issuing{Loop, "127.0.0.2", 0};
  Vm Requester{Loop, "127.0.0.1", Issuing.Exchange.port()};
};

TEST_F(PermitsTest, IssuerGrantsTheLimitAndNoMore) {
  Requester.target().RateLimit = RequestRate{4};
  EXPECT_TRUE(acquire(Millis{250}).Granted);
  const auto Begin = DecisionClock::now();
  EXPECT_FALSE(acquire(Millis{50}).Granted);
  constexpr Millis MinBackoff{125}; // Two VMs at 4 requests/s.
  EXPECT_GE(Requester.target().PermitRetry, Begin + MinBackoff);
}

TEST_F(PermitsTest, SilentIssuerRefusesAfterAShortWait) {
  Requester.target().RateLimit = RequestRate{4};
  Requester.join({}, "127.0.0.3");
  const auto Begin = DecisionClock::now();
  EXPECT_FALSE(acquire(Millis{250}).Granted);
  EXPECT_GT(Requester.target().PermitRetry, Begin);
}

TEST_F(PermitsTest, UnreadableAddressOfAnIssuerIsPassedOver) {
  Requester.target().RateLimit = RequestRate{1'000};
  Requester.Issuers.update({{"127.0.0.2", "nowhere", 25}}, IssuersPerTarget);
  EXPECT_FALSE(acquire(Millis{250}).Granted);
}

TEST_F(PermitsTest, VmThatIsNoIssuerRefuses) {
  Requester.target().RateLimit = RequestRate{1'000};
  Issuing.join({}, "127.0.0.3");
  EXPECT_FALSE(acquire(Millis{250}).Granted);
}

TEST_F(PermitsTest, LimitSpreadsAndIsRevoked) {
  observe(Requester, RequestRate{4});
  EXPECT_EQ(Issuing.target().RateLimit, RequestRate{4});
  Loop.run_for(Millis{10});
  observe(Requester, std::nullopt);
  EXPECT_FALSE(Requester.target().RateLimit);
  EXPECT_FALSE(Issuing.target().RateLimit);
}

TEST_F(PermitsTest, ResponseToAnEarlierRequestRevokesNothing) {
  const auto Sent = DecisionClock::now();
  observe(Requester, RequestRate{4});
  Requester.Exchange.observe(Requester.target(), std::nullopt, Sent);
  EXPECT_TRUE(Requester.target().RateLimit);
}

TEST_F(PermitsTest, VmThatStartsLaterLearnsTheLimitFromAnIssuer) {
  Issuing.target().RateLimit = RequestRate{4};
  Issuing.Exchange.maintain(DecisionClock::now());
  Loop.run_for(Millis{50});
  EXPECT_EQ(Requester.target().RateLimit, RequestRate{4});
}

} // namespace
} // namespace goldcrestnotch::ratelimit
