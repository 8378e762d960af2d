/// @file
/// Tests of following a partition when reads return only a part of it.

#include "goldcrestnotch/store/keyed_feed.hpp"

#include <thread>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace goldcrestnotch::store {
namespace {

/// @brief A partition in memory that limits the records of one read.
class LimitedReadLog {
public:
  ReadResult read(boost::asio::yield_context, const Partition &,
                  std::uint64_t Offset, Millis) {
    ++Reads;
    ReadResult Result;
    Result.Era = Era;
    Result.Trimmed = Offset > Records.size();
    if (Result.Trimmed) {
      return Result;
    }
    Result.End = Records.size();
    Result.Next = std::min<std::uint64_t>(Offset + MaxRecords, Result.End);
    for (auto I = Offset; I < Result.Next; ++I) {
      Result.Records.push_back(Records[I]);
    }
    return Result;
  }
  NewestResult newest(boost::asio::yield_context, const Partition &,
                      const std::string &) {
    ++Loads;
    std::map<std::string, Record> Newest;
    for (const auto &Entry : Records) {
      Newest[Entry.Key] = Entry;
    }
    NewestResult Result;
    Result.Era = Era;
    Result.End = Records.size();
    for (const auto &[Key, Entry] : Newest) {
      Result.Records.push_back(Entry);
    }
    return Result;
  }
  AppendResult append(boost::asio::yield_context, const Partition &,
                      std::uint64_t, const std::vector<Record> &) {
    return {};
  }
  void put(const std::string &Key, const std::string &Value) {
    Records.push_back({Records.size(), Key, Value, Era});
  }
  /// @brief Loses the records after the first ones.
  void restore(std::size_t Count) {
    Records.resize(Count);
    ++Era;
    for (auto &Entry : Records) {
      Entry.Era = Era;
    }
  }

  std::vector<Record> Records;
  std::uint64_t Era = 1;
  std::uint64_t MaxRecords = 4;
  int Reads = 0;
  int Loads = 0;
};

struct FollowedLog {
  void poll() {
    boost::asio::io_context Loop;
    boost::asio::spawn(Loop, [this](boost::asio::yield_context Yield) {
      Feed.poll(Yield, Millis{0});
    });
    Loop.run();
  }

  LimitedReadLog Log;
  KeyedFeed<LimitedReadLog> Feed{Log, {"keyed.any", 0}, [](const Record &) {}};
};

TEST(KeyedFeed, LongHistoryIsSkipped) {
  FollowedLog Followed;
  Followed.Log.put("a", "0");
  Followed.poll();
  for (int I = 1; I <= 100; ++I) {
    Followed.Log.put("a", std::to_string(I));
  }
  Followed.poll();
  EXPECT_EQ(Followed.Feed.value("a"), "100");
  EXPECT_EQ(Followed.Feed.nextOffset(), 101U);
}

TEST(KeyedFeed, FewNewRecordsAreReadInOrder) {
  FollowedLog Followed;
  for (const auto *Key : {"a", "b", "c", "d", "e", "f"}) {
    Followed.Log.put(Key, "0");
  }
  Followed.poll();
  Followed.Log.put("a", "1");
  Followed.Log.put("b", "1");
  Followed.poll();
  EXPECT_EQ(Followed.Feed.value("b"), "1");
  EXPECT_EQ(Followed.Log.Loads, 1);
}

TEST(KeyedFeed, OnlyAReadToTheEndProvesThatNothingIsMissing) {
  FollowedLog Followed;
  for (const auto *Key : {"a", "b", "c", "d", "e", "f"}) {
    Followed.Log.put(Key, "0");
  }
  EXPECT_EQ(Followed.Feed.provenAt(), Instant{});
  Followed.poll();
  const auto Loaded = Followed.Feed.provenAt();
  EXPECT_GT(Loaded, Instant{});
  for (const auto *Key : {"a", "b", "c", "d", "e", "f"}) {
    Followed.Log.put(Key, "1");
  }
  std::this_thread::sleep_for(Millis{2});
  Followed.poll(); // Four of six records.
  EXPECT_EQ(Followed.Feed.provenAt(), Loaded);
  Followed.poll();
  EXPECT_GT(Followed.Feed.provenAt(), Loaded);
}

TEST(KeyedFeed, RecordTooLongForAReadIsLoaded) {
  FollowedLog Followed;
  Followed.Log.put("a", "0");
  Followed.poll();
  Followed.Log.MaxRecords = 0;
  Followed.Log.put("a", "1");
  Followed.poll();
  EXPECT_EQ(Followed.Feed.value("a"), "1");
}

TEST(KeyedFeed, RecordsOfARestoredLogAreReadThoughTheirOffsetsAreLower) {
  FollowedLog Followed;
  for (int I = 0; I < 10; ++I) {
    Followed.Log.put("a", std::to_string(I));
  }
  Followed.poll();
  Followed.Log.restore(2);
  Followed.Log.put("a", "new");
  Followed.poll();
  EXPECT_EQ(Followed.Feed.value("a"), "new");
  Followed.Log.put("a", "newer");
  Followed.poll();
  EXPECT_EQ(Followed.Feed.value("a"), "newer");
  EXPECT_EQ(Followed.Feed.nextOffset(), 4U);
}

TEST(KeyedFeed, RestoredLogThatIsAsLongAgainIsReadFromItsBeginning) {
  FollowedLog Followed;
  Followed.Log.put("a", "1");
  Followed.Log.put("b", "1");
  Followed.poll();
  Followed.Log.restore(0);
  Followed.Log.put("b", "2");
  Followed.Log.put("a", "2");
  Followed.poll();
  EXPECT_EQ(Followed.Feed.value("a"), "2");
  EXPECT_EQ(Followed.Feed.value("b"), "2");
}

TEST(KeyedFeed, KeysThatARestoredLogLacksAreReported) {
  FollowedLog Followed;
  std::vector<std::string> Lost;
  Followed.Feed.setLossHandler(
      [&](const std::string &Key) { Lost.push_back(Key); });
  Followed.Log.put("a", "1");
  Followed.Log.put("b", "1");
  Followed.poll();
  Followed.Log.restore(1);
  Followed.poll();
  EXPECT_EQ(Lost, std::vector<std::string>{"b"});
}

TEST(KeyedFeed, RecordOfAnEarlierEraFromAnotherVmIsIgnored) {
  FollowedLog Followed;
  Followed.Log.put("a", "1");
  Followed.Log.restore(1);
  Followed.poll();
  Followed.Feed.apply({9, "a", "old", 1});
  EXPECT_EQ(Followed.Feed.value("a"), "1");
}

TEST(KeyedFeed, EraThatOnlyAnotherVmClaimsIsCorrectedByTheLog) {
  FollowedLog Followed;
  Followed.Log.put("a", "1");
  Followed.poll();
  Followed.Feed.apply({9, "a", "wrong", 1'000});
  Followed.poll();
  EXPECT_EQ(Followed.Feed.value("a"), "1");
  EXPECT_TRUE(Followed.Feed.loaded());
}

} // namespace
} // namespace goldcrestnotch::store
