/// @file
/// End-to-end tests of entries that another writer has put into the lists of
/// the store, under names of its own.

#include "fleet.hpp"

#include <csignal>

#include <gtest/gtest.h>

namespace platform_test {
namespace {

using namespace std::string_literals;

constexpr const char *TargetTopic = "keyed.servers";
constexpr int EntriesPerPage = 500;
/// More than two pages.
constexpr int ForeignEntries = 1'200;

std::string nameOf(int Number, const std::string &OddPart) {
  // Sorts before the names of replicas.
  return "a" + OddPart + std::to_string(10'000 + Number);
}

class PlatformOddName : public testing::TestWithParam<std::string> {
protected:
  void SetUp() override {
    for (int Vm = 0; Vm < VmCount; ++Vm) {
      ASSERT_TRUE(TestFleet.waitUntilReady(Vm));
    }
  }

  void addForeignEntries(const std::string &Topic, const std::string &OddPart,
                         const std::string &Value) {
    for (int I = 0; I < ForeignEntries; ++I) {
      TestFleet.Store.put(Topic, nameOf(I, OddPart), Value);
    }
  }
  void restartAll() {
    for (int Vm = 0; Vm < VmCount; ++Vm) {
      TestFleet.daemon(Vm).signal(SIGKILL);
    }
    for (int Vm = 0; Vm < VmCount; ++Vm) {
      TestFleet.start(Vm);
    }
  }
  void expectService() {
    for (int Vm = 0; Vm < VmCount; ++Vm) {
      ASSERT_TRUE(TestFleet.waitUntilReady(Vm));
      for (int I = 0; I < 5; ++I) {
        const auto Attempt = std::to_string(Vm) + "-" + std::to_string(I) +
                             "-" + std::to_string(++Calls);
        const auto Result =
            TestFleet.call({"/chat/1", "key-1", Attempt, "100,30", "4000"}, Vm);
        EXPECT_EQ(Result.Status, 200) << Result.Body;
        EXPECT_EQ(Result.Body, CompleteStream);
      }
    }
  }

  static constexpr int VmCount = 3;
  Fleet TestFleet{2, VmCount};
  int Calls = 0;
};

// The next page of the list was asked for by a name that was not encoded.
TEST_P(PlatformOddName, OfAnotherWriterDoesNotKeepTargetsFromUseAfterARestart) {
  addForeignEntries(TargetTopic, GetParam(), "not a registration");
  restartAll();
  expectService();
}

INSTANTIATE_TEST_SUITE_P(Characters, PlatformOddName,
                         testing::Values("", "&", "+", "#", "%", " ", "\"",
                                         "\r\n", "\xff", "&after=zzz",
                                         std::string(240, '%')));

using PlatformOneOddName = PlatformOddName;

// Only one name of a long list was odd, at the end of the first page.
TEST_P(PlatformOneOddName, AtTheEndOfAPageDoesNotKeepTargetsFromUse) {
  const auto Add = [this](const std::string &Name) {
    TestFleet.Store.put(TargetTopic, Name, "not a registration");
  };
  const auto AddPlain = [&](const std::string &Prefix, int Count) {
    for (int I = 0; I < Count; ++I) {
      Add(Prefix + std::to_string(10'000 + I));
    }
  };
  AddPlain("a!", EntriesPerPage - 1);
  Add(GetParam());
  AddPlain("b-", EntriesPerPage - 1);
  AddPlain("z-", EntriesPerPage);
  restartAll();
  expectService();
  for (int Vm = 0; Vm < VmCount; ++Vm) {
    EXPECT_TRUE(TestFleet.eventually([&] {
      const auto Metrics = TestFleet.get(Fleet::ReadyPort, "/metrics", Vm).Body;
      return Metrics.find("goldcrestnotch_targets 2\n") != std::string::npos;
    }));
  }
}

// Each sorts behind all names that begin with `a!`.
INSTANTIATE_TEST_SUITE_P(Characters, PlatformOneOddName,
                         testing::Values("a!~", "a&", "a+", "a#", "a%", "a!~ b",
                                         "a&b+c#d%e f"));

using PlatformForeignEntry = PlatformOddName;

TEST_F(PlatformForeignEntry, ThatLooksLikeATargetGetsNoRequests) {
  const auto Registration = TestFleet.replica(0).entry("engines", "ready");
  auto Decoy = json::parse(Registration);
  Decoy["address"] = "127.0.0.1:9";
  for (const auto *Name : {"i 5", "i+5", "i&5", "i#5", "i%5", "i%205", "\xff",
                           "i-5\r\nX-Goldcrestnotch-Tenant: x"}) {
    TestFleet.Store.put(TargetTopic, Name, Decoy.dump());
  }
  restartAll();
  expectService();
  const auto Metrics = TestFleet.get(Fleet::ReadyPort, "/metrics").Body;
  EXPECT_NE(Metrics.find("target_entries_unreadable_total 8"),
            std::string::npos);
  EXPECT_EQ(Metrics.find("target_unreachable"), std::string::npos);
}

TEST_F(PlatformForeignEntry, OfAnyListDoesNotKeepOthersFromUse) {
  for (const auto *Topic :
       {TargetTopic, "keyed.op", "keyed.status", "keyed.roster"}) {
    addForeignEntries(Topic, " &+#%", "\x01\xff{not a record");
  }
  // An order on a service that the operator has never named.
  TestFleet.Store.put("keyed.op", "rollout/", "7");
  TestFleet.Store.put("keyed.op", "rollout/\xff", "{}");
  TestFleet.Store.put("keyed.status", "rollout/engines", "\xff");
  restartAll();
  expectService();
  const auto Directory =
      TestFleet.get(Fleet::DirectoryPort, "/api/resolve?name=shop.example");
  EXPECT_EQ(Directory.Status, 200);
  EXPECT_EQ(json::parse(Directory.Body).at("addresses").size(),
            static_cast<std::size_t>(VmCount));
}

TEST_F(PlatformForeignEntry, DoesNoHarmToAVmThatLearnsOfItFromAnother) {
  for (const auto *Topic : {TargetTopic, "keyed.op", "keyed.roster"}) {
    addForeignEntries(Topic, " &+#%\xff", "\x01\xff{not a record");
  }
  std::this_thread::sleep_for(Millis{1'500}); // All VMs have read them.
  TestFleet.Store.Down = true;
  TestFleet.daemon(1).signal(SIGKILL);
  ASSERT_TRUE(TestFleet.daemon(1).wait(2'000));
  TestFleet.start(1);
  ASSERT_TRUE(TestFleet.waitUntilReady(1));
  EXPECT_TRUE(TestFleet.eventually([&] {
    return TestFleet
               .call({"/chat/1", "key-1", "c" + std::to_string(++Calls),
                      "100,30", "4000"},
                     1)
               .Status == 200;
  }));
}

// Each of them caused a line.
TEST_F(PlatformForeignEntry, GetsFewLinesInTheLog) {
  constexpr std::int64_t MaxLinesPerSecond = 5;
  for (int I = 0; I < ForeignEntries; ++I) {
    const auto Name = nameOf(I, " &");
    TestFleet.Store.put("keyed.op", "rollout/" + Name, "not an order");
    TestFleet.Store.put("keyed.escrow", Name, "not a record");
    TestFleet.Store.put("keyed.escrow", Name + "/1", "not a record");
  }
  const auto Begin = DecisionClock::now();
  restartAll();
  expectService();
  const auto Seconds =
      (DecisionClock::now() - Begin) / std::chrono::seconds{1} + 1;
  for (const auto *Event :
       {"move.unreadable", "escrow.unknown_key", "escrow.unreadable"}) {
    const auto Output = TestFleet.daemon(0).output();
    std::int64_t Lines = 0;
    for (auto I = Output.find(Event); I != std::string::npos;
         I = Output.find(Event, I + 1)) {
      ++Lines;
    }
    EXPECT_GT(Lines, 0) << Event;
    EXPECT_LE(Lines, MaxLinesPerSecond * (Seconds + 1)) << Event;
  }
}

TEST_F(PlatformForeignEntry, DoesNoHarmWhenTheStoreComesBackFromACopy) {
  TestFleet.Store.takeCopy();
  addForeignEntries(TargetTopic, "&+#%", "not a registration");
  for (int I = 0; I < TestFleet.replicaCount(); ++I) {
    TestFleet.registerReplica(TestFleet.replica(I), "ready");
  }
  TestFleet.Store.restore();
  expectService();
}

TEST_F(PlatformForeignEntry, DoesNoHarmWhenTheHistoryIsGone) {
  addForeignEntries(TargetTopic, "&+#%", "not a registration");
  TestFleet.Store.compact(TargetTopic);
  expectService();
}

/// @brief A configuration whose names hold characters that queries, paths and
/// headers could take for more, and fields of a later version.
class PlatformOddConfiguration : public PlatformOddName {
protected:
  static constexpr const char *OddName = "a b&c+d#e%f";
  static constexpr std::int64_t Prepaid = 10'000;
  static constexpr std::int64_t ChatTokens = 130;

  void SetUp() override {
    const json Later{{"kind", {1, nullptr}}};
    auto Config = json::parse(*TestFleet.Store.value("keyed.op", "config"));
    Config["version"] = 2;
    Config["later"] = Later;
    Config["limits"]["later"] = Later;
    for (auto &Route : Config["routes"]) {
      Route["later"] = Later;
      Route["name"] = OddName + Route["name"].get<std::string>();
      Route["service"] = OddName;
    }
    Config["routes"][0]["pathPrefix"] = "/a&b+c%25d%20e/";
    Config["services"][0]["name"] = OddName;
    Config["services"][0]["later"] = Later;
    Config["services"][0]["engine"]["later"] = Later;
    Config["tenants"][0]["name"] = OddName;
    Config["tenants"][0]["prepaid"] = Prepaid;
    Config["tenants"][0]["later"] = Later;
    for (int I = 0; I < TestFleet.replicaCount(); ++I) {
      const auto &Replica = TestFleet.replica(I);
      TestFleet.Store.put(TargetTopic, Replica.name(),
                          Replica.entry(OddName, "ready"));
    }
    TestFleet.Store.put("keyed.op", "config", Config.dump());
    restartAll();
    for (int Vm = 0; Vm < VmCount; ++Vm) {
      ASSERT_TRUE(TestFleet.waitUntilReady(Vm));
    }
  }
  [[nodiscard]] int chat(int Vm) {
    return TestFleet
        .call({"/a&b+c%25d%20e/1", "key-1", "d" + std::to_string(++Calls),
               "100,30", "4000"},
              Vm)
        .Status;
  }
};

TEST_F(PlatformOddConfiguration, IsServedUnderItsNames) {
  for (int Vm = 0; Vm < VmCount; ++Vm) {
    EXPECT_EQ(chat(Vm), 200);
  }
  for (int I = 0; I < TestFleet.replicaCount(); ++I) {
    if (TestFleet.replica(I).runs() > 0) {
      EXPECT_EQ(TestFleet.replica(I).lastHeaders()["X-Goldcrestnotch-Tenant"],
                OddName);
    }
  }
}

TEST_F(PlatformOddConfiguration, LendsTheBudgetBetweenVms) {
  // What a request isn't owed for: three in a hundred, and its own tokens.
  constexpr auto MinConsumed = Prepaid * 97 / 100 - ChatTokens;
  // VMs that lent tokens get back what is left within this time.
  constexpr Millis SettleTime{3'000};
  auto Deadline = DecisionClock::now() + SettleTime;
  while (DecisionClock::now() < Deadline) {
    for (int Vm = 0; Vm < VmCount; ++Vm) {
      if (chat(Vm) == 200) {
        Deadline = DecisionClock::now() + SettleTime;
      }
    }
  }
  const auto Consumed =
      static_cast<std::int64_t>(TestFleet.runs()) * ChatTokens;
  EXPECT_LE(Consumed, Prepaid);
  EXPECT_GE(Consumed, MinConsumed);
}

TEST_F(PlatformOddConfiguration, ServiceIsMoved) {
  const auto Key = "rollout/" + std::string{OddName};
  TestFleet.Store.put(
      "keyed.op", Key,
      json{{"service", OddName}, {"target", "v2"}, {"durationS", 30}}.dump());
  EXPECT_TRUE(TestFleet.eventually([&] {
    const auto Status = TestFleet.Store.value("keyed.status", Key);
    return Status && json::parse(*Status).at("target") == "v2";
  }));
}

} // namespace
} // namespace platform_test
