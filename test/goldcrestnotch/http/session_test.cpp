/// @file
/// Tests of persistent connections to servers that send a response slowly: a
/// slow response is read past the deadline, but must not hold the session
/// forever.

#include "goldcrestnotch/http/session.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/server.hpp"
#include "goldcrestnotch/kernel/await.hpp"

namespace goldcrestnotch::http {
namespace {

Request question() {
  Request Asked;
  Asked.Method = "GET";
  Asked.Path = "/";
  return Asked;
}

TEST(Session, AnswerThatTricklesOnIsGivenUp) {
  boost::asio::io_context Loop;
  Server Far{Loop, {"127.0.0.1", 0}, {}, [](Exchange &Talk) {
               Talk.start({});
               boost::asio::steady_timer Timer{executorOf(Talk.yield())};
               for (int I = 0; I < 50;
                    ++I) { // 15 s in all, longer than the session waits.
                 Timer.expires_after(Millis{300});
                 Timer.async_wait(Talk.yield());
                 Talk.write("x");
               }
               Talk.finish();
             }};
  Far.start();
  const auto Begin = DecisionClock::now();
  bool Failed = false;
  boost::asio::spawn(Loop, [&](boost::asio::yield_context Yield) {
    Session Near{Loop, {"127.0.0.1", Far.port()}};
    try {
      (void)Near.send(Yield, question(), Begin + Millis{100});
    } catch (const Error &Failure) {
      Failed = Failure.verdict() == Verdict::MayHaveRun;
    }
    Loop.stop();
  });
  Loop.run();
  EXPECT_TRUE(Failed);
  EXPECT_LT(DecisionClock::now() - Begin, Millis{12'000});
}

TEST(Session, LongAnswerThatGoesOnComingIsAwaited) {
  boost::asio::io_context Loop;
  Server Far{Loop, {"127.0.0.1", 0}, {}, [](Exchange &Talk) {
               Talk.start({});
               boost::asio::steady_timer Timer{executorOf(Talk.yield())};
               for (int I = 0; I < 5; ++I) {
                 Timer.expires_after(Millis{100});
                 Timer.async_wait(Talk.yield());
                 Talk.write("x");
               }
               Talk.finish();
             }};
  Far.start();
  std::string Body;
  boost::asio::spawn(Loop, [&](boost::asio::yield_context Yield) {
    Session Near{Loop, {"127.0.0.1", Far.port()}};
    Body =
        Near.send(Yield, question(), DecisionClock::now() + Millis{150}).Body;
    Loop.stop();
  });
  Loop.run();
  EXPECT_EQ(Body, "xxxxx");
}

} // namespace
} // namespace goldcrestnotch::http
