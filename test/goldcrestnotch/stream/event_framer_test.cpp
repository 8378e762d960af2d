/// @file
/// Tests of splitting a byte stream into complete events.

#include "goldcrestnotch/stream/event_framer.hpp"

#include <ctime>

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
  Framer.beginConnection();
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

// A resumed stream went on behind a hole: the framer took the id behind the gap
// for received, and the events before the gap were never passed on.
TEST(EventFramer, ResumesBeforeAGap) {
  EventFramer Framer;
  (void)Framer.feed("id: 1\ndata: a\n\n");
  const auto Batch =
      Framer.feed("id: 2\ndata: b\n\nid: 4\ndata: d\n\nid: 5\ndata: e\n\n");
  EXPECT_TRUE(Batch.Gap);
  EXPECT_EQ(Batch.Bytes, "id: 2\ndata: b\n\n");
  EXPECT_EQ(Batch.Count, 1U);
  EXPECT_EQ(Framer.lastId(), 2U);
  Framer.beginConnection();
  const auto Resumed = Framer.feed("id: 3\ndata: c\n\nid: 4\ndata: d\n\n");
  EXPECT_FALSE(Resumed.Gap);
  EXPECT_EQ(Resumed.Bytes, "id: 3\ndata: c\n\nid: 4\ndata: d\n\n");
}

// The last event of a stream was dropped as a duplicate when wrong bytes had
// shortened its id, and the stream looked complete.
TEST(EventFramer, IdThatGoesBackOnAConnectionIsAGap) {
  EventFramer Framer;
  (void)Framer.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_TRUE(Framer.feed("id: 1\ndata: c\n\n").Gap);
  EXPECT_EQ(Framer.lastId(), 2U);
}

TEST(EventFramer, IdThatIsNoNumberIsAGapInANumberedStream) {
  for (const auto *const Spoiled :
       {"id: 2#\ndata: b\n\n", "id: ##\n\n", "id:\n\n"}) {
    EventFramer Framer;
    (void)Framer.feed("id: 1\ndata: a\n\n");
    EXPECT_TRUE(Framer.feed(Spoiled).Gap) << Spoiled;
  }
  EXPECT_TRUE(EventFramer{}.feed("id: 1#\ndata: a\n\n").Gap);
}

TEST(EventFramer, PassesEventsWithoutNumbers) {
  EventFramer Framer;
  const std::string Events =
      ": comment\n\nid: abc\ndata: a\n\ndata: b\n\nid: def\ndata: c\n\n";
  const auto Batch = Framer.feed(Events);
  EXPECT_FALSE(Batch.Gap);
  EXPECT_EQ(Batch.Bytes, Events);
  EXPECT_EQ(Batch.Count, 0U);
}

TEST(EventFramer, PassesEventsWithoutIdsBetweenNumberedOnes) {
  EventFramer Framer;
  const std::string Events = "id: 1\ndata: a\n\n: comment\n\ndata: x\n\n"
                             "id: 2 \ndata: b\n\ndata: [DONE]\n\n";
  const auto Batch = Framer.feed(Events);
  EXPECT_FALSE(Batch.Gap);
  EXPECT_EQ(Batch.Bytes + Framer.takeHeld(), Events);
}

// Wrong bytes in the place of an id made its event look like one without an
// id. It reached the caller, and its data again after the resume.
TEST(EventFramer, EventWithASpoiledIdIsDroppedWithTheGap) {
  for (const std::uint64_t Last : {0U, 2U}) {
    EventFramer Framer{Last};
    const auto Next = std::to_string(Last + 2);
    EXPECT_EQ(Framer.feed("#####\ndata: x\n\n").Bytes, "");
    const auto Batch = Framer.feed("id: " + Next + "\ndata: y\n\n");
    EXPECT_TRUE(Batch.Gap);
    EXPECT_EQ(Batch.Bytes, "");
    EXPECT_EQ(Framer.lastId(), Last);
    EXPECT_EQ(Framer.takeHeld(), "");
  }
}

// Wrong bytes in the place of the last id reached the caller with the proper
// end of the stream.
TEST(EventFramer, WrongBytesAtTheEndAreNotWellFormed) {
  for (const auto *const Spoiled :
       {"#####\ndata: x\n\n", "i##: 2\ndata: x\n\n", "########x\n\n"}) {
    EventFramer Framer{1};
    EXPECT_EQ(Framer.feed(Spoiled).Bytes, "");
    EXPECT_FALSE(Framer.heldIsWellFormed()) << Spoiled;
  }
}

TEST(EventFramer, EventsWithoutIdsAtTheEndAreWellFormed) {
  EventFramer Framer{1};
  const std::string Events = "data: [DONE]\n\n: bye\n\nevent: end\r\n"
                             "data:\r\n\r\nx-weight-versions: 7\n\n";
  EXPECT_EQ(Framer.feed(Events).Bytes, "");
  EXPECT_TRUE(Framer.heldIsWellFormed());
  EXPECT_EQ(Framer.takeHeld(), Events);
}

TEST(EventFramer, GapsInPiecesOfAnySizeEndAtTheSameEvent) {
  const std::string Events = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n"
                             "id: 4\ndata: d\n\n";
  for (std::size_t Size = 1; Size <= Events.size(); ++Size) {
    EventFramer Framer;
    std::string Passed;
    bool Gap = false;
    for (std::size_t I = 0; I < Events.size() && !Gap; I += Size) {
      const auto Batch = Framer.feed(std::string_view{Events}.substr(I, Size));
      Passed += Batch.Bytes;
      Gap = Batch.Gap;
    }
    EXPECT_TRUE(Gap) << Size;
    EXPECT_EQ(Passed, Events.substr(0, Events.find("id: 4"))) << Size;
    EXPECT_EQ(Framer.lastId(), 2U);
  }
}

// An event that arrived byte by byte was searched from its beginning with each
// byte, which took seconds of processor time for 256 KiB.
TEST(EventFramer, EventThatArrivesByteByByteTakesLinearTime) {
  const auto ProcessorTime = [](std::size_t Bytes) {
    EventFramer Framer;
    const auto Begin = std::clock();
    for (std::size_t I = 0; I < Bytes; ++I) {
      (void)Framer.feed("x");
    }
    return std::clock() - Begin;
  };
  constexpr std::size_t Parts = 8;
  constexpr std::size_t Tolerance = 4;
  EXPECT_LT(ProcessorTime(EventFramer::MaxEventBytes),
            static_cast<std::clock_t>(Parts * Tolerance) *
                ProcessorTime(EventFramer::MaxEventBytes / Parts));
}

TEST(EventFramer, GapAtTheFirstEventResumesFromTheBeginning) {
  EventFramer Framer;
  EXPECT_TRUE(Framer.feed("id: 2\ndata: b\n\n").Gap);
  EXPECT_EQ(Framer.lastId(), 0U);
}

TEST(EventFramer, GapAfterAResumeIsResumedAgain) {
  EventFramer Framer;
  EXPECT_TRUE(Framer.feed("id: 1\ndata: a\n\nid: 3\ndata: c\n\n").Gap);
  Framer.beginConnection();
  EXPECT_TRUE(Framer.feed("id: 2\ndata: b\n\nid: 4\ndata: d\n\n").Gap);
  EXPECT_EQ(Framer.lastId(), 2U);
  Framer.beginConnection();
  const auto Rest = Framer.feed("id: 3\ndata: c\n\nid: 4\ndata: d\n\n");
  EXPECT_FALSE(Rest.Gap);
  EXPECT_EQ(Rest.Count, 2U);
}

TEST(EventFramer, HoldsNoMoreThanOneEventMayHave) {
  EventFramer Framer{1};
  const std::string Event = "data: " + std::string(16'384, 'x') + "\n\n";
  bool Reported = false;
  for (int I = 0; I < 20 && !Reported; ++I) {
    Reported = Framer.feed(Event).Oversized;
  }
  EXPECT_TRUE(Reported);
}

TEST(EventFramer, ResumedConnectionMayRepeatEvents) {
  EventFramer Framer{3};
  const auto Batch = Framer.feed("id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
                                 "id: 4\ndata: d\n\n");
  EXPECT_FALSE(Batch.Gap);
  EXPECT_EQ(Batch.Bytes, "id: 4\ndata: d\n\n");
}

TEST(EventFramer, AcceptsCarriageReturns) {
  EventFramer Framer;
  EXPECT_EQ(Framer.feed("id: 1\r\ndata: a\r\n\r\n").Count, 1U);
}

} // namespace
} // namespace goldcrestnotch
