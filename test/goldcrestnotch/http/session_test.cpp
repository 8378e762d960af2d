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
#include "late_loop.hpp"

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
  boost::asio::io_context Loop;
  boost::asio::ip::tcp::acceptor Remote{
      Loop, {boost::asio::ip::address_v4::loopback(), 0}};
  const auto Deadline = DecisionClock::now() + Millis{2'000};
  int Answered = 0;
  for (int I = 0; I < standin::LateSocketCount; ++I) {
    boost::asio::spawn(Loop, [&](boost::asio::yield_context Yield) {
      Session Connection{Loop, {"127.0.0.1", Remote.local_endpoint().port()}};
      try {
        (void)Connection.send(Yield, rootRequest(), Deadline);
        ++Answered;
      } catch (const Error &) {
        // The test counts the responses.
      }
    });
  }
  ASSERT_TRUE(standin::answerLateLoop(
      Loop, Remote, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Deadline));
  EXPECT_EQ(Answered, standin::LateSocketCount);
}

} // namespace
} // namespace goldcrestnotch::http
