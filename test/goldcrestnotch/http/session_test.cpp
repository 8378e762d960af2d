/// @file
/// Tests of persistent connections to servers that send a response slowly: a
/// slow response is read past the deadline, but must not hold the session
/// forever.

#include "goldcrestnotch/http/session.hpp"

#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/server.hpp"
#include "goldcrestnotch/kernel/await.hpp"

namespace goldcrestnotch::http {
namespace {

Request rootRequest() {
  Request Result;
  Result.Method = "GET";
  Result.Path = "/";
  return Result;
}

TEST(Session, AnswerThatTricklesOnIsGivenUp) {
  boost::asio::io_context Context;
  Server SlowServer{Context, {"127.0.0.1", 0}, {}, [](Exchange &Current) {
                      Current.start({});
                      boost::asio::steady_timer Timer{
                          executorOf(Current.yield())};
                      // The response takes 15 s, longer than the session waits.
                      for (int I = 0; I < 50; ++I) {
                        Timer.expires_after(Millis{300});
                        Timer.async_wait(Current.yield());
                        Current.write("x");
                      }
                      Current.finish();
                    }};
  SlowServer.start();
  const auto Begin = DecisionClock::now();
  bool Failed = false;
  boost::asio::spawn(Context, [&](boost::asio::yield_context Yield) {
    Session Connection{Context, {"127.0.0.1", SlowServer.port()}};
    try {
      (void)Connection.send(Yield, rootRequest(), Begin + Millis{100});
    } catch (const Error &Failure) {
      Failed = Failure.verdict() == Verdict::MayHaveRun;
    }
    Context.stop();
  });
  Context.run();
  EXPECT_TRUE(Failed);
  EXPECT_LT(DecisionClock::now() - Begin, Millis{12'000});
}

TEST(Session, ResponseInProgressIsReadPastTheDeadline) {
  boost::asio::io_context Context;
  Server SlowServer{Context, {"127.0.0.1", 0}, {}, [](Exchange &Current) {
                      Current.start({});
                      boost::asio::steady_timer Timer{
                          executorOf(Current.yield())};
                      for (int I = 0; I < 5; ++I) {
                        Timer.expires_after(Millis{100});
                        Timer.async_wait(Current.yield());
                        Current.write("x");
                      }
                      Current.finish();
                    }};
  SlowServer.start();
  std::string Body;
  boost::asio::spawn(Context, [&](boost::asio::yield_context Yield) {
    Session Connection{Context, {"127.0.0.1", SlowServer.port()}};
    Body = Connection
               .send(Yield, rootRequest(), DecisionClock::now() + Millis{150})
               .Body;
    Context.stop();
  });
  Context.run();
  EXPECT_EQ(Body, "xxxxx");
}

// A turn of the loop finds 128 sockets that are ready, and all timers.
TEST(Session, LateLoopReadsResponsesThatArrivedBeforeTheDeadline) {
  constexpr int SessionCount = 400;
  boost::asio::io_context ServerLoop;
  Server Remote{ServerLoop, {"127.0.0.1", 0}, {}, [](Exchange &Current) {
                  boost::asio::steady_timer Timer{executorOf(Current.yield()),
                                                  Millis{200}};
                  Timer.async_wait(Current.yield());
                  Current.reply({});
                }};
  Remote.start();
  std::thread Serving{[&] { ServerLoop.run(); }};
  boost::asio::io_context Loop;
  int Answered = 0;
  for (int I = 0; I < SessionCount; ++I) {
    boost::asio::spawn(Loop, [&](boost::asio::yield_context Yield) {
      Session Connection{Loop, {"127.0.0.1", Remote.port()}};
      try {
        (void)Connection.send(Yield, rootRequest(),
                              DecisionClock::now() + Millis{1'500});
        ++Answered;
      } catch (const Error &) {
        // The test counts the responses.
      }
    });
  }
  boost::asio::steady_timer EarlierTimer{Loop, Millis{110}};
  EarlierTimer.async_wait([](const boost::system::error_code &) {});
  (void)Loop.run_for(Millis{100});
  std::this_thread::sleep_for(Millis{1'600});
  Loop.restart();
  Loop.run();
  ServerLoop.stop();
  Serving.join();
  EXPECT_EQ(Answered, SessionCount);
}

} // namespace
} // namespace goldcrestnotch::http
