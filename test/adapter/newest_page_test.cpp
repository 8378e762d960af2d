/// @file
/// Tests of pages of the newest records that hold entries of any writer.

#include "newest_page.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::platform_adapter {
namespace {

/// A page with an entry `a`, another entry, and an entry `z`.
std::string pageWith(const std::string &Entry) {
  return R"({"items":[{"key":"a","value":"QQ==","offset":1},)" + Entry +
         R"(,{"key":"z","value":"Wg==","offset":3}],)" +
         R"("hasMore":true,"endOffset":9})";
}

TEST(NewestPage, EntryThatCannotBeReadDoesNotSpoilItsPage) {
  for (const auto *Entry :
       {R"({"key":"n"})", R"({"key":"n","value":7,"offset":2})",
        R"({"key":"n","value":"***","offset":2})",
        R"({"key":"n","value":null,"offset":2})",
        R"({"key":"n","value":"QQ==","offset":-2})",
        R"({"key":"n","value":"QQ==","offset":"2"})",
        R"({"key":null,"value":"QQ==","offset":2})",
        R"({"value":"QQ==","offset":2})", R"("text")", "7", "null", "[]", "{}",
        "{\"key\":\"n\xff\",\"value\":\"QQ==\",\"offset\":2}",
        "{\"key\":\"\xc3\",\"value\":\"\xe2\x82\",\"offset\":2}",
        R"({"key":"n\udcff","value":"QQ==","offset":2})",
        R"({"key":"n\ud800\\\udc00","value":"QQ==","offset":2})",
        R"({"key":"\ud800","value":"QQ==","offset":2})"}) {
    const auto Page = decodeNewestPage(pageWith(Entry), 4);
    ASSERT_GE(Page.Records.size(), 2U) << Entry;
    EXPECT_EQ(Page.Records.front().Key, "a");
    EXPECT_EQ(Page.Records.front().Value, "A");
    EXPECT_EQ(Page.Records.back().Key, "z");
    EXPECT_EQ(Page.Records.back().Value, "Z");
    EXPECT_EQ(Page.Records.back().Era, 4U);
    EXPECT_EQ(Page.LastExactKey, "z");
    EXPECT_TRUE(Page.More);
    EXPECT_EQ(Page.End, 9U);
    EXPECT_EQ(Page.Records.size() + Page.LeftOut, 3U) << Entry;
  }
}

TEST(NewestPage, KeyWithLostBytesDoesNotLeadOn) {
  const std::string Body =
      "{\"items\":[{\"key\":\"a\",\"value\":\"\",\"offset\":1},"
      "{\"key\":\"b\xff\",\"value\":\"\",\"offset\":2}],"
      "\"hasMore\":true,\"endOffset\":3}";
  const auto Page = decodeNewestPage(Body, 1);
  EXPECT_EQ(Page.LastExactKey, "a");
  EXPECT_EQ(Page.KeyBehindLast, "b\xff\xff\xff\xff");
}

TEST(NewestPage, KeysKeepAllCharactersThatJsonCanHold) {
  const auto Page = decodeNewestPage(
      pageWith(R"({"key":"a\"b\\\r\n\u0000 &+#%","value":"QQ==","offset":2})"),
      1);
  using namespace std::string_literals;
  EXPECT_EQ(Page.Records.at(1).Key, "a\"b\\\r\n\0 &+#%"s);
}

TEST(NewestPage, BodyThatIsNoPageIsAnError) {
  for (const auto *Body :
       {"", "{", "[]", "7", R"({"items":[]})", R"({"items":7,"hasMore":true})",
        R"({"items":[],"hasMore":1,"endOffset":2})"}) {
    EXPECT_THROW((void)decodeNewestPage(Body, 1), store::StoreError) << Body;
  }
}

// The list was taken for an empty one, and all known entries for deleted.
TEST(NewestPage, EntriesThatAreNoListAreAnError) {
  for (const auto *Items : {"null", "7", "\"\"", "{}", "false"}) {
    EXPECT_THROW(
        (void)decodeNewestPage(R"({"items":)" + std::string{Items} +
                                   R"(,"hasMore":false,"endOffset":2})",
                               1),
        store::StoreError)
        << Items;
  }
}

// Entries were deleted as of an offset that no later record reaches.
TEST(NewestPage, EndThatIsNoOffsetIsAnError) {
  for (const auto *End : {"-1", "2.5", "1e300", "null", "\"2\"", "[2]"}) {
    EXPECT_THROW((void)decodeNewestPage(R"({"items":[],"hasMore":false,)"
                                        R"("endOffset":)" +
                                            std::string{End} + "}",
                                        1),
                 store::StoreError)
        << End;
  }
}

} // namespace
} // namespace goldcrestnotch::platform_adapter
