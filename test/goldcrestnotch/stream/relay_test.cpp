/// @file
/// Tests of tracking one response over several connections.

#include "goldcrestnotch/stream/relay.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

std::string encodeEvent(int Id, const char *Text) {
  return "id: " + std::to_string(Id) +
         "\ndata: {\"choices\":[{\"delta\":{\"content\":\"" + Text +
         "\"}}],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":" +
         std::to_string(Id) + "}}\n\n";
}

TEST(Relay, PassesEachEventOnce) {
  Relay Response;
  Response.collectText();
  EXPECT_EQ(Response.feed(encodeEvent(1, "a") + encodeEvent(2, "b")).size(),
            2U);
  Response.discardPartial();
  EXPECT_EQ(
      Response
          .feed(encodeEvent(1, "a") + encodeEvent(2, "b") + encodeEvent(3, "c"))
          .size(),
      1U);
  EXPECT_EQ(Response.text(), "abc");
  EXPECT_EQ(Response.usage()->total(), Tokens{6});
}

TEST(Relay, AcceptsPiecesOfAnySize) {
  const std::string Stream =
      encodeEvent(1, "a") + encodeEvent(2, "b") + "data: [DONE]\n\n";
  for (std::size_t Size = 1; Size < Stream.size(); ++Size) {
    Relay Response;
    Response.collectText();
    for (std::size_t Offset = 0; Offset < Stream.size(); Offset += Size) {
      (void)Response.feed(std::string_view{Stream}.substr(Offset, Size));
    }
    EXPECT_TRUE(Response.done());
    EXPECT_EQ(Response.text(), "ab");
  }
}

TEST(Relay, ThrowsOnMissingEvent) {
  Relay Response;
  (void)Response.feed(encodeEvent(1, "a"));
  EXPECT_THROW((void)Response.feed(encodeEvent(3, "c")), std::runtime_error);
}

// Events in front of a gap were lost with the error, but counted as received,
// so the response was resumed behind them.
TEST(Relay, EventsBeforeAMissingOneArePassedOn) {
  Relay Response;
  EXPECT_EQ(Response.feed(encodeEvent(1, "a") + encodeEvent(3, "c")).size(),
            1U);
  EXPECT_EQ(Response.lastEventId(), 1U);
  EXPECT_THROW((void)Response.feed(encodeEvent(4, "d")), std::runtime_error);
  Response.discardPartial();
  EXPECT_EQ(Response.feed(encodeEvent(2, "b")).size(), 1U);
}

TEST(Relay, UsageOfAnotherTypeIsAFaultOfTheTarget) {
  Relay Response;
  EXPECT_THROW((void)Response.feed(
                   "id: 1\ndata: {\"usage\":{\"prompt_tokens\":\"x\"}}\n\n"),
               std::runtime_error);
}

TEST(Relay, DiscardsPartialEventBeforeReconnect) {
  Relay Response;
  (void)Response.feed(encodeEvent(1, "a").substr(0, 20));
  Response.discardPartial();
  EXPECT_EQ(Response.feed(encodeEvent(1, "a")).size(), 1U);
}

TEST(Relay, SkipsEventsThatTheCallerAlreadyHas) {
  Relay Response{2};
  EXPECT_TRUE(Response.feed(encodeEvent(1, "a") + encodeEvent(2, "b")).empty());
  EXPECT_EQ(Response.feed(encodeEvent(3, "c")).size(), 1U);
}

TEST(Relay, ThrowsOnOversizedEvent) {
  Relay Response;
  EXPECT_THROW((void)Response.feed(std::string(100'000, 'x')),
               std::length_error);
}

TEST(Relay, ThrowsOnErrorInTheResponse) {
  Relay Response;
  EXPECT_THROW((void)Response.feed("data: {\"error\":{}}\n\n"),
               std::runtime_error);
}

} // namespace
} // namespace goldcrestnotch
