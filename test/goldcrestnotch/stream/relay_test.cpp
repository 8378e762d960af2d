/// @file
/// Following an answer over several connections.

#include "goldcrestnotch/stream/relay.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

std::string event(int Number, const char *Text) {
  return "id: " + std::to_string(Number) +
         "\ndata: {\"choices\":[{\"delta\":{\"content\":\"" + Text +
         "\"}}],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":" +
         std::to_string(Number) + "}}\n\n";
}

TEST(Relay, PassesEachEventOnce) {
  Relay Answer;
  Answer.collectText();
  EXPECT_EQ(Answer.feed(event(1, "a") + event(2, "b")).size(), 2U);
  Answer.discardPartial();
  EXPECT_EQ(Answer.feed(event(1, "a") + event(2, "b") + event(3, "c")).size(),
            1U);
  EXPECT_EQ(Answer.text(), "abc");
  EXPECT_EQ(Answer.usage()->total(), Tokens{6});
}

TEST(Relay, TakesEventsInAnyPieces) {
  const std::string Whole = event(1, "a") + event(2, "b") + "data: [DONE]\n\n";
  for (std::size_t Size = 1; Size < Whole.size(); ++Size) {
    Relay Answer;
    Answer.collectText();
    for (std::size_t At = 0; At < Whole.size(); At += Size) {
      (void)Answer.feed(std::string_view{Whole}.substr(At, Size));
    }
    EXPECT_TRUE(Answer.done());
    EXPECT_EQ(Answer.text(), "ab");
  }
}

TEST(Relay, MissingEventIsAnError) {
  Relay Answer;
  (void)Answer.feed(event(1, "a"));
  EXPECT_THROW((void)Answer.feed(event(3, "c")), std::runtime_error);
}

TEST(Relay, HalfAnEventIsForgottenOnReconnect) {
  Relay Answer;
  (void)Answer.feed(event(1, "a").substr(0, 20));
  Answer.discardPartial();
  EXPECT_EQ(Answer.feed(event(1, "a")).size(), 1U);
}

TEST(Relay, SkipsWhatTheCallerHas) {
  Relay Answer{2};
  EXPECT_TRUE(Answer.feed(event(1, "a") + event(2, "b")).empty());
  EXPECT_EQ(Answer.feed(event(3, "c")).size(), 1U);
}

TEST(Relay, EndlessEventIsRefused) {
  Relay Answer;
  EXPECT_THROW((void)Answer.feed(std::string(100'000, 'x')), std::length_error);
}

TEST(Relay, ErrorInTheAnswerIsAnError) {
  Relay Answer;
  EXPECT_THROW((void)Answer.feed("data: {\"error\":{}}\n\n"),
               std::runtime_error);
}

} // namespace
} // namespace goldcrestnotch
