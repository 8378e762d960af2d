/// @file
/// Following keyed records through reads that bring only a part.

#include "goldcrestnotch/store/keyed_feed.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace goldcrestnotch::store {
namespace {

/// @brief A partition in memory whose reads bring few records.
class ShortReads {
public:
  ReadResult read(boost::asio::yield_context, const Partition &,
                  std::uint64_t Offset, Millis) {
    ++Reads;
    ReadResult Result;
    Result.End = Records.size();
    Result.Next = std::min<std::uint64_t>(Offset + MostRecords, Result.End);
    for (auto I = Offset; I < Result.Next; ++I) {
      Result.Records.push_back(Records[I]);
    }
    return Result;
  }
  NewestResult newest(boost::asio::yield_context, const Partition &,
                      const std::string &) {
    ++Loads;
    std::map<std::string, Record> Last;
    for (const auto &One : Records) {
      Last[One.Key] = One;
    }
    NewestResult Result;
    Result.End = Records.size();
    for (const auto &[Key, One] : Last) {
      Result.Records.push_back(One);
    }
    return Result;
  }
  AppendResult append(boost::asio::yield_context, const Partition &,
                      std::uint64_t, const std::vector<Record> &) {
    return {};
  }
  void put(const std::string &Key, const std::string &Value) {
    Records.push_back({Records.size(), Key, Value});
  }

  std::vector<Record> Records;
  std::uint64_t MostRecords = 4;
  int Reads = 0;
  int Loads = 0;
};

struct Following {
  void poll() {
    boost::asio::io_context Loop;
    boost::asio::spawn(Loop, [this](boost::asio::yield_context Yield) {
      Feed.poll(Yield, Millis{0});
    });
    Loop.run();
  }

  ShortReads Log;
  KeyedFeed<ShortReads> Feed{Log, {"keyed.any", 0}, [](const Record &) {}};
};

TEST(KeyedFeed, LongHistoryIsPassedOver) {
  Following On;
  On.Log.put("a", "0");
  On.poll();
  for (int I = 1; I <= 100; ++I) {
    On.Log.put("a", std::to_string(I));
  }
  On.poll();
  EXPECT_EQ(On.Feed.value("a"), "100");
  EXPECT_EQ(On.Feed.nextOffset(), 101U);
}

TEST(KeyedFeed, FewNewRecordsAreReadInOrder) {
  Following On;
  for (const auto *Key : {"a", "b", "c", "d", "e", "f"}) {
    On.Log.put(Key, "0");
  }
  On.poll();
  On.Log.put("a", "1");
  On.Log.put("b", "1");
  On.poll();
  EXPECT_EQ(On.Feed.value("b"), "1");
  EXPECT_EQ(On.Log.Loads, 1);
}

TEST(KeyedFeed, RecordTooLongForARead) {
  Following On;
  On.Log.put("a", "0");
  On.poll();
  On.Log.MostRecords = 0;
  On.Log.put("a", "1");
  On.poll();
  EXPECT_EQ(On.Feed.value("a"), "1");
}

} // namespace
} // namespace goldcrestnotch::store
