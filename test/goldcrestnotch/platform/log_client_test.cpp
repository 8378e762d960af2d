/// @file
/// Tests of answers of the log service that can't be read.

#include "goldcrestnotch/platform/log_client.hpp"

#include <functional>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/server.hpp"

namespace goldcrestnotch {
namespace {

/// @brief Calls a log service that answers all calls with a body.
void callService(
    const std::string &Body,
    const std::function<void(LogClient &, boost::asio::yield_context)> &Call) {
  boost::asio::io_context Context;
  http::Server Service{
      Context, {"127.0.0.1", 0}, {}, [&](http::Exchange &Current) {
        http::Response Answer;
        Answer.Body = Body;
        Current.reply(Answer);
      }};
  Service.start();
  boost::asio::spawn(Context, [&](boost::asio::yield_context Yield) {
    LogClient Client{http::Endpoint{"127.0.0.1", Service.port()}};
    Call(Client, Yield);
    Context.stop();
  });
  Context.run();
}

/// @brief The failure of an append that is answered with a body.
std::optional<Error> failureOf(const std::string &Body) {
  std::optional<Error> Result;
  callService(Body, [&](LogClient &Client, boost::asio::yield_context Yield) {
    try {
      (void)Client.append(Yield, "config", "text",
                          DecisionClock::now() + Millis{1'000});
    } catch (const Error &Failure) {
      Result.emplace(Failure);
    }
  });
  return Result;
}

/// @brief The page of a read from offset 7 that is answered with a body.
/// @return Nothing if the read fails.
std::optional<LogPage> pageOf(const std::string &Body) {
  std::optional<LogPage> Result;
  callService(Body, [&](LogClient &Client, boost::asio::yield_context Yield) {
    try {
      Result = Client.read(Yield, "config", 7, Millis{0},
                           DecisionClock::now() + Millis{1'000});
    } catch (const Error &) {
      Result.reset(); // The test checks the result.
    }
  });
  return Result;
}

// Callers of `append` try again after an `Error` only.
TEST(LogClient, AppendWithAnOffsetThatIsNoNumberMayHaveRun) {
  for (const auto *Body :
       {R"({"offset":"7"})", R"({"offset":null})", R"({"offset":[]})"}) {
    std::optional<Error> Failure;
    ASSERT_NO_THROW(Failure = failureOf(Body)) << Body;
    ASSERT_TRUE(Failure) << Body;
    EXPECT_EQ(Failure->verdict(), Verdict::MayHaveRun);
    EXPECT_EQ(Failure->code(), "log_unavailable");
  }
}

TEST(LogClient, AppendThatIsAnsweredWithAnOffsetSucceeds) {
  EXPECT_FALSE(failureOf(R"({"offset":7})"));
}

// One such record made the whole page fail, and it was read again for ever.
TEST(LogClient, RecordThatCannotBeReadLeavesTheOthersOfItsPageInUse) {
  for (const auto *Record :
       {"7", "null", "{}", R"({"offset":8,"time_ms":5})",
        R"({"offset":8,"body":"b"})", R"({"time_ms":5,"body":"b"})",
        R"({"offset":"8","time_ms":5,"body":"b"})",
        R"({"offset":-8,"time_ms":5,"body":"b"})",
        R"({"offset":6,"time_ms":5,"body":"b"})",
        R"({"offset":8,"time_ms":"5","body":"b"})",
        R"({"offset":8,"time_ms":5,"body":7})"}) {
    const auto Page = pageOf(
        R"({"next":10,"records":[{"offset":7,"time_ms":4,"body":"a"},)" +
        std::string{Record} + R"(,{"offset":9,"time_ms":6,"body":"c"}]})");
    ASSERT_TRUE(Page) << Record;
    ASSERT_EQ(Page->Records.size(), 3U) << Record;
    EXPECT_EQ(Page->Records[0].Body, "a");
    EXPECT_EQ(Page->Records[1].Offset, 8U) << Record;
    EXPECT_EQ(Page->Records[1].Body, "") << Record;
    EXPECT_EQ(Page->Records[2].Offset, 9U);
    EXPECT_EQ(Page->Records[2].Body, "c");
    EXPECT_EQ(Page->End, 10U);
  }
}

TEST(LogClient, PageWithoutAListOfRecordsIsNoPage) {
  for (const auto *Body :
       {R"({"next":10})", R"({"next":10,"records":null})",
        R"({"next":10,"records":{}})", R"({"records":[]})"}) {
    EXPECT_FALSE(pageOf(Body)) << Body;
  }
}

} // namespace
} // namespace goldcrestnotch
