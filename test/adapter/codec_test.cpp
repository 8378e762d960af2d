/// @file
/// Tests of numbers in the platform's records and headers that no setting or
/// request can have.

#include "codec.hpp"
#include "store_update.hpp"

#include <limits>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace goldcrestnotch::platform_adapter {
namespace {

using nlohmann::json;

routing::Configuration decode(const json &Number) {
  const json Route{{"name", "chat"},
                   {"host", "h"},
                   {"pathPrefix", "/"},
                   {"timeoutMs", Number},
                   {"sloMs", Number},
                   {"targetGapMs", Number},
                   {"priority", Number},
                   {"maxAttempts", Number},
                   {"backends", {{{"service", "s"}, {"weight", Number}}}}};
  const json Service{
      {"name", "s"},
      {"maxConns", Number},
      {"engine",
       {{"capacity", Number}, {"kvCapacity", Number}, {"stride", Number}}}};
  const json Limits{{"maxHeaderBytes", Number},
                    {"maxBodyBytes", Number},
                    {"headerTimeoutMs", Number},
                    {"idleTimeoutMs", Number}};
  return decodeConfiguration(json{
      {"version", 3},
      {"routes", {Route}},
      {"services", {Service}},
      {"tenants", {{{"name", "t"}, {"prepaid", Number}, {"priority", Number}}}},
      {"limits", Limits}}.dump());
}

TEST(Codec, LargeSettingsAreBounded) {
  for (const auto &Number :
       {json(std::numeric_limits<std::uint64_t>::max()),
        json(std::numeric_limits<std::int64_t>::max()), json(1e300)}) {
    const auto Result = decode(Number);
    EXPECT_EQ(Result.Workspaces[0].Prepaid, MaxTokens);
    EXPECT_GT(Result.Workspaces[0].Priority, 0);
    const auto &Route = Result.Routes[0];
    EXPECT_EQ(Route.Timeout, MaxStatedTime);
    EXPECT_EQ(Route.LatencyObjective, MaxStatedTime);
    EXPECT_EQ(Route.EventGapObjective, MaxStatedTime);
    EXPECT_GT(Route.Priority, 0);
    EXPECT_GT(Route.MaxAttempts, 0);
    EXPECT_LT(Route.Services[0].Weight, 1e10);
    EXPECT_EQ(Result.Limits.IdleTimeout, MaxStatedTime);
    EXPECT_GT(Result.Limits.MaxHeaderBytes, 1'000'000U);
    const auto &Service = Result.Services[0];
    EXPECT_GT(Service.MaxConnections, 0);
    EXPECT_GT(Service.Engine->MaxBatch, 0);
    EXPECT_EQ(Service.Engine->KvCapacity, MaxTokens);
    EXPECT_GT(Service.Engine->MaxTokensPerEvent, 0);
  }
}

TEST(Codec, NegativeSettingsAreBounded) {
  for (const auto &Number : {json(-1), json(-0.5), json(-1e300),
                             json(std::numeric_limits<std::int64_t>::min())}) {
    const auto Result = decode(Number);
    EXPECT_EQ(Result.Workspaces[0].Prepaid, Tokens{});
    EXPECT_EQ(Result.Routes[0].Timeout, Millis{0});
    EXPECT_EQ(Result.Routes[0].Services[0].Weight, 0);
    EXPECT_EQ(Result.Limits.MaxBodyBytes, 0U);
    EXPECT_EQ(Result.Services[0].MaxConnections, 0);
    EXPECT_EQ(Result.Services[0].Engine->MaxTokensPerEvent, 1);
  }
}

TEST(Codec, UsualSettingsStayAsTheyAre) {
  const auto Result = decode(2'500);
  EXPECT_EQ(Result.Workspaces[0].Prepaid, Tokens{2'500});
  EXPECT_EQ(Result.Workspaces[0].Priority, 2'500);
  EXPECT_EQ(Result.Routes[0].Timeout, Millis{2'500});
  EXPECT_EQ(Result.Routes[0].Services[0].Weight, 2'500);
  EXPECT_EQ(Result.Limits.MaxHeaderBytes, 2'500U);
  EXPECT_EQ(Result.Services[0].Engine->KvCapacity, Tokens{2'500});
  EXPECT_EQ(decode(1.75).Workspaces[0].Prepaid, Tokens{1});
}

TEST(Codec, VersionBelowZeroIsRejected) {
  json Document{
      {"version", -1}, {"routes", json::array()}, {"services", json::array()}};
  EXPECT_THROW((void)decodeConfiguration(Document.dump()),
               std::invalid_argument);
  Document["version"] = 1;
  EXPECT_EQ(decodeConfiguration(Document.dump()).Version, 1U);
}

TEST(Codec, SpanOfAMoveIsBounded) {
  const auto Span = [](double Seconds) {
    return decodeMoveOrder(
               "rollout/s",
               json{{"durationS", Seconds}, {"service", "s"}, {"target", "v2"}}
                   .dump())
        .Duration;
  };
  EXPECT_EQ(Span(90.5), Millis{90'500});
  EXPECT_EQ(Span(-1e300), Millis{0});
  EXPECT_EQ(Span(1e300), std::chrono::hours{7 * 24});
}

std::optional<proxy::PromptInfo> parse(const std::string &Usage,
                                       const std::string &Parts = {}) {
  proxy::HeaderNames::Fields Fields;
  Fields.set("X-Goldcrestnotch-Token-Usage", Usage);
  if (!Parts.empty()) {
    Fields.set("X-Goldcrestnotch-Prompt-Prefix", Parts);
  }
  return headerNames().ParsePrompt(Fields);
}

TEST(Codec, UsageMayHaveBlanks) {
  for (const auto *Usage : {"100,30", "100, 30", " 100 ,\t30 "}) {
    const auto Prompt = parse(Usage);
    ASSERT_TRUE(Prompt) << Usage;
    EXPECT_EQ(Prompt->Input, Tokens{100});
    EXPECT_EQ(Prompt->MaxOutput, Tokens{30});
  }
}

TEST(Codec, LargeUsageExceedsAnyBudget) {
  for (const auto *Usage :
       {"100,9223372036854775807", "9223372036854775807,100",
        "9223372036854775807,9223372036854765809",
        "18446744073709551615,18446744073709551615",
        "1,99999999999999999999999999"}) {
    const auto Prompt = parse(Usage);
    ASSERT_TRUE(Prompt) << Usage;
    EXPECT_GT(Prompt->Input + Prompt->MaxOutput, MaxTokens) << Usage;
  }
}

TEST(Codec, OtherUsageIsMalformed) {
  for (const auto *Usage : {"", "100", "100,", ",30", "-100,30", "100,-30",
                            "100,30,5", "100;30", "1e2,30", "100,30x"}) {
    EXPECT_FALSE(parse(Usage)) << Usage;
  }
  proxy::HeaderNames::Fields Fields;
  Fields.insert("X-Goldcrestnotch-Token-Usage", "1,1");
  Fields.insert("X-Goldcrestnotch-Token-Usage", "100,30");
  EXPECT_FALSE(headerNames().ParsePrompt(Fields));
}

TEST(Codec, SharedPartsAreNoLargerThanThePrompt) {
  EXPECT_EQ(parse("100,1", "a:40,b:20,c:40")->SharedInput, Tokens{60});
  EXPECT_EQ(parse("100,1", "a:-40, b: 20,c:40")->SharedInput, Tokens{20});
  EXPECT_EQ(parse("100,1", "a:9223372036854775807,b:9223372036854775807,c:1")
                ->SharedInput,
            Tokens{100});
}

TEST(Codec, StoreUpdateWithAnImpossiblePositionIsRejected) {
  StoreUpdate Update;
  Update.Operator.push_back({std::uint64_t{1} << 63U, "key", "value"});
  EXPECT_THROW((void)decodeStoreUpdate(encode(Update).Body),
               std::invalid_argument);
  Update.Operator[0].Offset = 7;
  EXPECT_EQ(decodeStoreUpdate(encode(Update).Body).Operator[0].Offset, 7U);
  Update.Operator[0].Era = std::numeric_limits<std::uint64_t>::max();
  EXPECT_THROW((void)decodeStoreUpdate(encode(Update).Body),
               std::invalid_argument);
}

MoveOrder decodeOrder(const std::string &Key, const std::string &Service) {
  return decodeMoveOrder(
      Key,
      json{{"durationS", 9}, {"service", Service}, {"target", "v2"}}.dump());
}

// The status of each move is written under a key of at most 255 bytes; one that
// can't be written kept the moves behind it from theirs.
TEST(Codec, MoveOfAServiceWhoseStatusHasNoKeyIsRejected) {
  const std::string Longest(247, 's');
  EXPECT_EQ(decodeOrder("rollout/" + Longest, Longest).Service.str(), Longest);
  for (const auto &Name : {std::string{}, std::string(248, 's')}) {
    EXPECT_THROW((void)decodeOrder("rollout/" + Name, Name),
                 std::invalid_argument);
  }
}

TEST(Codec, MoveUnderTheKeyOfAnotherServiceIsRejected) {
  for (const auto *Key : {"rollout/", "rollout/t", "rollout/s ", "config"}) {
    EXPECT_THROW((void)decodeOrder(Key, "s"), std::invalid_argument) << Key;
  }
}

std::vector<std::string> workspacesOf(const std::vector<std::string> &Names) {
  json Tenants = json::array();
  for (const auto &Name : Names) {
    Tenants.push_back({{"name", Name}, {"apiKeys", {"key of " + Name}}});
  }
  const auto Result = decodeConfiguration(json{
      {"version", 1},
      {"routes", json::array()},
      {"services", json::array()},
      {"tenants", Tenants}}.dump());
  EXPECT_TRUE(Result.KeyRequired);
  std::vector<std::string> Kept;
  for (const auto &Each : Result.Workspaces) {
    Kept.push_back(Each.Name.str());
  }
  return Kept;
}

// Targets would receive another workspace's name, or other header fields.
TEST(Codec, WorkspaceWhoseNameNoHeaderFieldCanHoldIsLeftOut) {
  using namespace std::string_literals;
  for (const auto &Name :
       {""s, "a\r\nX-Goldcrestnotch-Request-Priority: 0"s, "a\nb"s, "a\0"s,
        "\x7f"s, " a"s, "a "s, "\ta"s, std::string(5'000, 'a')}) {
    EXPECT_EQ(workspacesOf({"first", Name, "last"}),
              (std::vector<std::string>{"first", "last"}))
        << testing::PrintToString(Name);
  }
}

TEST(Codec, WorkspaceWithAnUnusualNameIsKept) {
  const std::vector<std::string> Names{
      "a b", "a&b+c#d%e", "\u00e9", "a/b:c", "\"", "\\", std::string(255, 'a')};
  EXPECT_EQ(workspacesOf(Names), Names);
}

TEST(Codec, EntryThatIsNestedDeeplyIsNotUsed) {
  constexpr std::size_t Depth = 250'000;
  for (const auto &Text : {std::string(Depth, '['),
                           std::string(Depth, '[') + std::string(Depth, ']')}) {
    EXPECT_FALSE(decodeRegistration("t", Text));
    EXPECT_FALSE(decodeMoveStatus(Text));
    EXPECT_THROW((void)decodeMoveOrder("rollout/s", Text),
                 std::invalid_argument);
    EXPECT_THROW((void)decodeConfiguration(Text), std::invalid_argument);
  }
}

// The address goes into the request line of relay requests.
TEST(Codec, TargetWhoseAddressHoldsMoreThanAnAddressIsNone) {
  using namespace std::string_literals;
  const auto Decoded = [](const std::string &Address) {
    return decodeRegistration("t", json{{"service", "s"},
                                        {"address", Address},
                                        {"zone", "z"},
                                        {"version", "v"},
                                        {"capacity", 1},
                                        {"state", "ready"}}
                                       .dump());
  };
  EXPECT_TRUE(Decoded("127.0.0.1:80"));
  EXPECT_TRUE(Decoded("fd00::1:80"));
  for (const auto &Address :
       {"127.0.0.1\0:80"s, "127.0.0.1\0 HTTP/1.1\r\nTarget-Name: u\r\n:80"s,
        "fe80::1%\r\nA: b:80"s, "fe80::1%eth0:80"s, " 127.0.0.1:80"s}) {
    EXPECT_FALSE(Decoded(Address)) << testing::PrintToString(Address);
  }
}

} // namespace
} // namespace goldcrestnotch::platform_adapter
