/// @file
/// Loans from VMs that answer slowly or not at all.

#include "goldcrestnotch/escrow/loans.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include "goldcrestnotch/kernel/await.hpp"

namespace goldcrestnotch::escrow {
namespace {

const WorkspaceId Stall{"stall"};

/// @brief A lender behind a full link, and a VM that asks it.
struct SlowLender {
  explicit SlowLender(Millis Delay)
      : Link{Loop, {"127.0.0.1", 0}, {}, [Delay](http::Exchange &Talk) {
               boost::asio::steady_timer Timer{executorOf(Talk.yield())};
               Timer.expires_after(Delay);
               Timer.async_wait(Talk.yield());
               http::Response Answer;
               Answer.Body = "300 0";
               Talk.reply(Answer);
             }} {
    Link.start();
    HolderRecord Lender;
    Lender.Control = "127.0.0.1:" + std::to_string(Link.port());
    Lender.Accounts[Stall].Drawn = Tokens{500};
    Known.apply(1, {"b", "boot"}, Lender);
  }

  /// @brief Borrows for one request.
  [[nodiscard]] Tokens borrowed(Tokens Bound) {
    boost::asio::spawn(Loop, [&](boost::asio::yield_context Yield) {
      (void)Asker.borrow(Yield, Stall, Bound,
                         DecisionClock::now() + Millis{250});
      Loop.stop();
    });
    Loop.run();
    return Held.available(Stall);
  }

  boost::asio::io_context Loop;
  Book Known;
  Holder Held{HolderName{"a", "boot"}};
  Metrics Measured;
  Loans Asker{Known, Held, Measured};
  http::Server Link;
};

TEST(Loans, AllVmsFindTheSameHomes) {
  constexpr int Vms = 20;
  Book Known;
  for (int I = 0; I < Vms; ++I) {
    Known.apply(static_cast<std::uint64_t>(I), {std::to_string(I), "boot"},
                HolderRecord{});
  }
  std::size_t Homes = 0;
  for (int I = 0; I < Vms; ++I) {
    Holder Held{HolderName{std::to_string(I), "boot"}};
    Metrics Measured;
    Homes += Loans{Known, Held, Measured}.home(Stall) ? 1 : 0;
  }
  EXPECT_EQ(Homes, Sizing{}.Homes);
}

TEST(Loans, SlowAnswerStillCounts) {
  SlowLender On{Millis{200}};
  EXPECT_EQ(On.borrowed(Tokens{300}), Tokens{300});
}

} // namespace
} // namespace goldcrestnotch::escrow
