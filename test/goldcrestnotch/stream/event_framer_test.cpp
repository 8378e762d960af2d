/// @file
/// Cutting streams into whole events.

#include "goldcrestnotch/stream/event_framer.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

TEST(EventFramer, PassesWholeEventsUnchanged) {
  EventFramer Frames;
  const auto First = Frames.feed("id: 1\ndata: a\n\nid: 2\nda");
  EXPECT_EQ(First.Bytes, "id: 1\ndata: a\n\n");
  EXPECT_EQ(First.Count, 1U);
  EXPECT_TRUE(Frames.partial());
  const auto Second = Frames.feed("ta: b\n\n");
  EXPECT_EQ(Second.Bytes, "id: 2\ndata: b\n\n");
  EXPECT_EQ(Frames.last(), 2U);
  EXPECT_FALSE(Frames.partial());
}

TEST(EventFramer, EventWithoutEndIsSeen) {
  EventFramer Frames;
  EXPECT_FALSE(Frames.feed("id: 1\ndata: a\n\n").Endless);
  const std::string Piece(16'384, 'x');
  bool Seen = false;
  for (int I = 0; I < 20 && !Seen; ++I) {
    Seen = Frames.feed(Piece).Endless;
  }
  EXPECT_TRUE(Seen);
}

TEST(EventFramer, DropsThePartialEventOnAnotherConnection) {
  EventFramer Frames;
  (void)Frames.feed("id: 1\ndata: a\n\nid: 2\nda");
  Frames.reset();
  const auto Run = Frames.feed("id: 2\ndata: b\n\n");
  EXPECT_EQ(Run.Bytes, "id: 2\ndata: b\n\n");
  EXPECT_FALSE(Run.Gap);
}

TEST(EventFramer, DropsEventsThatTheCallerHas) {
  EventFramer Frames{2};
  const auto Run = Frames.feed("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  EXPECT_EQ(Run.Bytes, "id: 3\ndata: c\n\n");
}

TEST(EventFramer, NoticesAMissingEvent) {
  EventFramer Frames;
  EXPECT_TRUE(Frames.feed("id: 2\ndata: b\n\n").Gap);
}

TEST(EventFramer, TakesCarriageReturns) {
  EventFramer Frames;
  EXPECT_EQ(Frames.feed("id: 1\r\ndata: a\r\n\r\n").Count, 1U);
}

} // namespace
} // namespace goldcrestnotch
