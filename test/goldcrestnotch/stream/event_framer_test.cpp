/// @file
/// Tests of splitting a byte stream into complete events.

#include "goldcrestnotch/stream/event_framer.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

TEST(EventFramer, PassesCompleteEventsUnchanged) {
  EventFramer Framer;
  const auto First = Framer.feed("id: 1\ndata: a\n\nid: 2\nda");
  EXPECT_EQ(First.Bytes, "id: 1\ndata: a\n\n");
  EXPECT_EQ(First.Count, 1U);
  EXPECT_TRUE(Framer.hasPartial());
  const auto Second = Framer.feed("ta: b\n\n");
  EXPECT_EQ(Second.Bytes, "id: 2\ndata: b\n\n");
  EXPECT_EQ(Framer.lastId(), 2U);
  EXPECT_FALSE(Framer.hasPartial());
}

TEST(EventFramer, ReportsOversizedEvent) {
  EventFramer Framer;
  EXPECT_FALSE(Framer.feed("id: 1\ndata: a\n\n").Oversized);
  const std::string Piece(16'384, 'x');
  bool Reported = false;
  for (int I = 0; I < 20 && !Reported; ++I) {
    Reported = Framer.feed(Piece).Oversized;
  }
  EXPECT_TRUE(Reported);
}

TEST(EventFramer, DiscardsPartialEventWhenAnotherConnectionContinues) {
  EventFramer Framer;
  (void)Framer.feed("id: 1\ndata: a\n\nid: 2\nda");
  Framer.discardPartial();
  const auto Batch = Framer.feed("id: 2\ndata: b\n\n");
  EXPECT_EQ(Batch.Bytes, "id: 2\ndata: b\n\n");
  EXPECT_FALSE(Batch.Gap);
}

TEST(EventFramer, DropsEventsThatTheCallerAlreadyHas) {
  EventFramer Framer{2};
  const auto Batch = Framer.feed("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  EXPECT_EQ(Batch.Bytes, "id: 3\ndata: c\n\n");
}

TEST(EventFramer, ReportsMissingEvent) {
  EventFramer Framer;
  EXPECT_TRUE(Framer.feed("id: 2\ndata: b\n\n").Gap);
}

TEST(EventFramer, AcceptsCarriageReturns) {
  EventFramer Framer;
  EXPECT_EQ(Framer.feed("id: 1\r\ndata: a\r\n\r\n").Count, 1U);
}

} // namespace
} // namespace goldcrestnotch
