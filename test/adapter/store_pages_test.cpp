/// @file
/// Tests of lists that are longer than a page and hold entries with any name,
/// between the client of the store and its stand-in.

#include "store_client.hpp"

#include <optional>
#include <set>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include "goldcrestnotch/store/keyed_feed.hpp"
#include "users_store.hpp"

namespace goldcrestnotch::platform_adapter {
namespace {

using namespace std::string_literals;

constexpr const char *Topic = "keyed.servers";
constexpr int EntriesPerPage = 500;

std::string numbered(int Number) {
  auto Result = std::to_string(1'000'000 + Number);
  return Result.substr(1);
}

/// A name of 255 bytes with a prefix.
std::string longName(const std::string &Prefix) {
  return Prefix + std::string(255 - Prefix.size(), '&');
}

/// Parts of names that a query, a path, JSON or a header could take for more.
const std::vector<std::string> OddParts{"&",
                                        "+",
                                        "#",
                                        "%",
                                        " ",
                                        "%41",
                                        "%zz",
                                        "\"",
                                        "'",
                                        "\\",
                                        "/../",
                                        "?",
                                        "=",
                                        ";",
                                        "\r\n",
                                        "\r\nX: y\r\n\r\n",
                                        "\t",
                                        "\0"s,
                                        "\x7f",
                                        "\u00e9",
                                        "\U0001F600",
                                        "&after=zzz",
                                        "&topic=keyed.op"};

class StorePages : public testing::Test {
protected:
  StorePages() : Store{Loop, {"127.0.0.1", 0}} {}

  void put(const std::string &Key, const std::string &Value = "foreign") {
    Store.put(Topic, Key, Value);
  }
  /// @brief Adds foreign entries before the target `t-1`, and `t-2` behind.
  void fill(int Count, const std::string &OddPart) {
    for (int I = 0; I < Count; ++I) {
      put("e" + OddPart + numbered(I));
    }
    put("t-1", "target");
    put("t-2", "target");
  }
  /// @brief Polls a feed once.
  /// @return What went wrong, or nothing.
  std::optional<std::string> poll(bool RequireWholeList = false) {
    if (!Feed) {
      Client.emplace(Loop, http::Endpoint{"127.0.0.1", Store.port()}, Health,
                     Measured, MaxReadKb);
      Feed.emplace(
          *Client, store::Partition{Topic, 0},
          [this](const store::Record &Update) { Handled.insert(Update.Key); });
    }
    if (RequireWholeList) {
      Feed->requireWholeList();
    }
    std::optional<std::string> Failure;
    bool Done = false;
    boost::asio::spawn(Loop, [&](boost::asio::yield_context Yield) {
      try {
        Feed->poll(Yield, Millis{0});
      } catch (const std::exception &Caught) {
        Failure = Caught.what();
      }
      Done = true;
    });
    while (!Done) {
      Loop.run_one();
    }
    return Failure;
  }
  [[nodiscard]] bool knowsTargets() const {
    return Feed->value("t-1") == "target" && Feed->value("t-2") == "target";
  }

  boost::asio::io_context &Loop = *new boost::asio::io_context;
  standin::UsersStore Store;
  store::StoreHealth Health;
  Metrics Measured;
  std::uint64_t MaxReadKb = 0; ///< Must be set before the first poll.
  std::optional<StoreClient> Client;
  std::optional<store::KeyedFeed<StoreClient>> Feed;
  std::set<std::string> Handled;
};

TEST_F(StorePages, NamesWithAnyCharacterAtTheEndOfAPageLeadToTheNextOne) {
  for (const auto &OddPart : OddParts) {
    Store.remove(Topic);
    Feed.reset();
    fill(2 * EntriesPerPage + 10, OddPart);
    ASSERT_EQ(poll(), std::nullopt) << testing::PrintToString(OddPart);
    EXPECT_TRUE(Feed->loaded());
    EXPECT_TRUE(knowsTargets()) << testing::PrintToString(OddPart);
    EXPECT_EQ(Feed->partialLoads(), 0U);
    EXPECT_EQ(Feed->recordsSince({}).size(), 2U * EntriesPerPage + 12U);
  }
}

TEST_F(StorePages, OneOddNameAnywhereInAListIsRead) {
  for (const auto &OddPart : OddParts) {
    for (const int Place : {0, 1, EntriesPerPage - 1, EntriesPerPage,
                            2 * EntriesPerPage - 1, 2 * EntriesPerPage}) {
      Store.remove(Topic);
      Feed.reset();
      for (int I = 0; I < 2 * EntriesPerPage + 1; ++I) {
        put("e" + numbered(I) + (I == Place ? OddPart : ""));
      }
      put("t-1", "target");
      put("t-2", "target");
      ASSERT_EQ(poll(), std::nullopt);
      EXPECT_TRUE(knowsTargets())
          << testing::PrintToString(OddPart) << " at " << Place;
    }
  }
}

TEST_F(StorePages, NamesThatSortFirstOrLastOrAreLongAreRead) {
  for (const auto &Name : {""s, "\0"s, " "s, "~"s, longName("e"), longName("~"),
                           "\u00ff"s, "\U0010FFFF"s}) {
    Store.remove(Topic);
    Feed.reset();
    fill(EntriesPerPage + 1, "");
    put(Name);
    ASSERT_EQ(poll(), std::nullopt);
    EXPECT_TRUE(knowsTargets()) << testing::PrintToString(Name);
    EXPECT_EQ(Feed->partialLoads(), 0U);
  }
}

TEST_F(StorePages, PagesThatEndByTheirSizeLeadToTheNextOne) {
  const std::string Large(200'000, 'x');
  for (int I = 0; I < 30; ++I) {
    put("e" + numbered(I) + "&", Large);
  }
  put("t-1", "target");
  put("t-2", "target");
  ASSERT_EQ(poll(), std::nullopt);
  EXPECT_TRUE(knowsTargets());
  EXPECT_GT(Store.Pages, 5U);
}

// The store shows other bytes than the name has, so it can't lead on.
TEST_F(StorePages, NameThatIsNotUtf8AtTheEndOfAPageLeadsToTheNextOne) {
  for (const auto *Odd : {"\xff", "\xc3", "\xe2\x82", "\xf0\x9f\x98"}) {
    Store.remove(Topic);
    Feed.reset();
    for (int I = 0; I < 2 * EntriesPerPage; ++I) {
      put("e" + numbered(I) + (I % 100 >= 90 ? Odd : ""));
    }
    put("t-1", "target");
    put("t-2", "target");
    ASSERT_EQ(poll(), std::nullopt);
    EXPECT_TRUE(knowsTargets());
    EXPECT_EQ(Feed->partialLoads(), 0U);
  }
}

TEST_F(StorePages, PageOfNamesThatAreNotUtf8IsPassedOver) {
  for (const auto *Odd : {"\xff", "\xc3", "\xe2\x82", "\xf0\x9f\x98"}) {
    Store.remove(Topic);
    Feed.reset();
    fill(2 * EntriesPerPage, Odd);
    ASSERT_EQ(poll(), std::nullopt);
    EXPECT_TRUE(knowsTargets());
    EXPECT_EQ(Feed->partialLoads(), 1U);
  }
}

TEST_F(StorePages, TargetsAreKnownBehindThousandsOfForeignEntries) {
  fill(20 * EntriesPerPage, " &+#%");
  ASSERT_EQ(poll(), std::nullopt);
  EXPECT_TRUE(knowsTargets());
  EXPECT_EQ(Store.Pages, 21U);
}

TEST_F(StorePages, ListIsReadAgainInANewEraOfTheStore) {
  fill(2 * EntriesPerPage, "&");
  ASSERT_EQ(poll(), std::nullopt);
  Store.takeCopy();
  put("t-1", "moved");
  Store.restore();
  Handled.clear();
  while (Feed->value("t-1") != "moved") {
    ASSERT_EQ(poll(), std::nullopt);
  }
  EXPECT_TRUE(Handled.contains("t-2"));
}

TEST_F(StorePages, ListIsReadAgainAfterTheHistoryIsGone) {
  fill(2 * EntriesPerPage, "+");
  ASSERT_EQ(poll(), std::nullopt);
  put("t-1", "moved");
  Store.compact(Topic);
  ASSERT_EQ(poll(), std::nullopt);
  EXPECT_EQ(Feed->value("t-1"), "moved");
}

TEST_F(StorePages, ReadingEndsWhenNoPageLeadsOn) {
  for (const auto Fault :
       {standin::PageFault::SamePage, standin::PageFault::EmptyPage,
        standin::PageFault::RejectsKeys}) {
    Store.remove(Topic);
    Feed.reset();
    put("c-1", "target");
    fill(2 * EntriesPerPage, "&");
    Store.PagesFail = Fault;
    ASSERT_EQ(poll(), std::nullopt);
    EXPECT_TRUE(Feed->loaded());
    EXPECT_EQ(Feed->value("c-1"), "target");
    EXPECT_EQ(Feed->partialLoads(), 1U);
    // What could not be listed is learned when it is written.
    put("t-1", "target");
    ASSERT_EQ(poll(), std::nullopt);
    EXPECT_EQ(Feed->value("t-1"), "target");
    Store.PagesFail = standin::PageFault::None;
  }
}

TEST_F(StorePages, LoadThatBrokeOffIsRepeatedThoughNothingIsWritten) {
  fill(2 * EntriesPerPage, "&");
  Store.PagesFail = standin::PageFault::RejectsKeys;
  ASSERT_EQ(poll(), std::nullopt);
  ASSERT_TRUE(Feed->broken());
  ASSERT_EQ(Feed->value("t-1"), std::nullopt);
  Store.PagesFail = standin::PageFault::None;
  const auto Deadline = DecisionClock::now() + Millis{4'000};
  while (Feed->broken() && DecisionClock::now() < Deadline) {
    ASSERT_EQ(poll(), std::nullopt);
  }
  EXPECT_TRUE(knowsTargets());
}

TEST_F(StorePages,
       DeletedTargetIsMissedThoughNamesThatAreNotUtf8ArePassedOver) {
  fill(2 * EntriesPerPage, "\xff");
  ASSERT_EQ(poll(), std::nullopt);
  Store.put(Topic, "t-1", std::nullopt);
  Store.compact(Topic);
  put("t-2", "moved");
  ASSERT_EQ(poll(), std::nullopt);
  EXPECT_EQ(Feed->value("t-1"), std::nullopt);
  EXPECT_EQ(Feed->value("t-2"), "moved");
}

TEST_F(StorePages, NamesThatAreNotUtf8DoNotKeepARequiredListFromUse) {
  fill(2 * EntriesPerPage, "\xff");
  ASSERT_EQ(poll(true), std::nullopt);
  EXPECT_TRUE(knowsTargets());
}

TEST_F(StorePages, KnownEntriesStayWhenALaterLoadEndsEarly) {
  fill(2 * EntriesPerPage, "&");
  ASSERT_EQ(poll(), std::nullopt);
  Store.PagesFail = standin::PageFault::SamePage;
  put("t-2", "target");
  Store.compact(Topic);
  ASSERT_EQ(poll(), std::nullopt);
  EXPECT_EQ(Feed->partialLoads(), 1U);
  EXPECT_TRUE(knowsTargets());
}

// A budget must not be drawn again because the record of a draw can't be read.
TEST_F(StorePages, FeedThatRequiresTheWholeListDoesNotLoadAPartOfIt) {
  fill(2 * EntriesPerPage, "&");
  Store.PagesFail = standin::PageFault::SamePage;
  EXPECT_NE(poll(true), std::nullopt);
  EXPECT_FALSE(Feed->loaded());
  Store.PagesFail = standin::PageFault::None;
  EXPECT_EQ(poll(true), std::nullopt);
  EXPECT_TRUE(knowsTargets());
}

// A cut key named a target, which was taken for deleted.
TEST_F(StorePages, RecordWhoseContentEndsInsideItsKeyDeletesNothing) {
  fill(0, "");
  ASSERT_EQ(poll(), std::nullopt);
  for (const auto &Content : {""s, "\x04t-1"s, "\xfft-2"s, "\x01"s}) {
    Store.putContent(Topic, Content);
  }
  put("t-2", "moved");
  ASSERT_EQ(poll(), std::nullopt);
  EXPECT_EQ(Feed->value("t-1"), "target");
  EXPECT_EQ(Feed->value("t-2"), "moved");
  EXPECT_EQ(Feed->nextOffset(), 7U);
  EXPECT_NE(Measured.text().find("store_entries_left_out_total 4"),
            std::string::npos);
}

TEST_F(StorePages, OddNamesThatComeAndGoLeaveOthersInUse) {
  fill(EntriesPerPage, "&");
  ASSERT_EQ(poll(), std::nullopt);
  for (const auto &OddPart : OddParts) {
    Store.put(Topic, "never" + OddPart, std::nullopt);
    put("x" + OddPart);
    Store.put(Topic, "x" + OddPart, std::nullopt);
    put("x" + OddPart, "again");
  }
  put("t-2", "moved");
  ASSERT_EQ(poll(), std::nullopt);
  EXPECT_EQ(Feed->value("t-1"), "target");
  EXPECT_EQ(Feed->value("t-2"), "moved");
  for (const auto &OddPart : OddParts) {
    EXPECT_EQ(Feed->value("x" + OddPart), "again");
  }
}

TEST_F(StorePages, ValueLargerThanAReadLeavesOthersInUse) {
  MaxReadKb = 64;
  for (const auto Fault : {standin::ReadFault::None, standin::ReadFault::Cut}) {
    Store.remove(Topic);
    Feed.reset();
    Store.ReadsFail = Fault;
    fill(0, "");
    ASSERT_EQ(poll(), std::nullopt);
    put("t-1", "moved");
    put("e&", std::string(200'000, 'x'));
    put("t-2", "moved");
    for (int I = 0; I < 3; ++I) {
      ASSERT_EQ(poll(), std::nullopt);
    }
    EXPECT_EQ(Feed->value("t-1"), "moved");
    EXPECT_EQ(Feed->value("t-2"), "moved");
    EXPECT_EQ(Feed->nextOffset(), 5U);
  }
}

// The offset that the text was taken for lay behind all records.
TEST_F(StorePages, ReadThatReturnsATextIsNotUsed) {
  fill(0, "");
  ASSERT_EQ(poll(), std::nullopt);
  Store.ReadsFail = standin::ReadFault::Text;
  EXPECT_NE(poll(), std::nullopt);
  Store.ReadsFail = standin::ReadFault::None;
  put("t-1", "moved");
  Store.Pages = 0;
  (void)poll();
  EXPECT_EQ(Feed->value("t-1"), "moved");
  EXPECT_EQ(Feed->nextOffset(), 3U);
  EXPECT_EQ(Store.Pages, 0U);
}

// Readers forgot all positions, and budgets waited as after a restore.
TEST_F(StorePages, AnswerWithoutAReadableEraIsNotUsed) {
  fill(0, "");
  ASSERT_EQ(poll(), std::nullopt);
  Handled.clear();
  for (const auto *Text : {"", "x", "1x", "-1", "+1", "1 1", "1,1", "0x1",
                           "18446744073709551615", "99999999999999999999999"}) {
    Store.stateEra(Text);
    EXPECT_NE(poll(), std::nullopt) << Text;
    EXPECT_EQ(Feed->era(), 1U) << Text;
  }
  Store.stateEra(std::nullopt);
  put("t-1", "moved");
  EXPECT_EQ(poll(), std::nullopt);
  EXPECT_EQ(Handled, std::set<std::string>{"t-1"});
}

TEST_F(StorePages, StoreThatHasStatedNoEraIsRead) {
  Store.stateEra("");
  fill(0, "");
  ASSERT_EQ(poll(), std::nullopt);
  EXPECT_TRUE(knowsTargets());
  EXPECT_EQ(Feed->era(), 0U);
  Store.stateEra(std::nullopt);
  ASSERT_EQ(poll(), std::nullopt);
  EXPECT_TRUE(knowsTargets());
  EXPECT_EQ(Feed->era(), 1U);
}

TEST_F(StorePages, KeyThatIsTooLongToWriteIsAnError) {
  std::optional<std::string> Failure;
  (void)poll();
  boost::asio::spawn(Loop, [&](boost::asio::yield_context Yield) {
    try {
      (void)Client->put(Yield, {Topic, 0},
                        {{0, std::string(256, 'k'), "value"}});
    } catch (const store::StoreError &Caught) {
      EXPECT_FALSE(Caught.mayHaveRun());
      Failure = Caught.what();
    }
  });
  while (!Failure) {
    Loop.run_one();
  }
  EXPECT_NE(Failure->find("256"), std::string::npos);
}

} // namespace
} // namespace goldcrestnotch::platform_adapter
