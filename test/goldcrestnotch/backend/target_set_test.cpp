/// @file
/// Keeping and choosing targets.

#include "goldcrestnotch/backend/target_set.hpp"

#include <set>
#include <string>

#include <gtest/gtest.h>

namespace goldcrestnotch::backend {
namespace {

constexpr Instant Start{Millis{100'000}};
const ServiceId Engines{"engines"};

Registration told(const char *Name, bool Leaving = false) {
  Registration Result;
  Result.Name = TargetId{Name};
  Result.Service = Engines;
  Result.Endpoint = {"127.0.0.1", static_cast<std::uint16_t>(Name[0])};
  Result.Domain = DomainId{"far"};
  Result.Version = VersionId{"v1"};
  Result.Capacity = 8;
  Result.Leaving = Leaving;
  Result.Incarnation = 1;
  return Result;
}

class TargetSetTest : public testing::Test {
protected:
  TargetSetTest() {
    for (const auto *Name : {"a", "b", "c"}) {
      Known.apply(told(Name));
    }
  }

  [[nodiscard]] std::string
  pick(Instant Now, TargetRequest Wanted = {Engines, {}, {}, 0, 0}) const {
    const auto Found = Known.pick(Now, Wanted);
    return Found ? Found->Registered.Name.str() : "";
  }

  TargetSet Known{DomainId{"near"}};
};

TEST_F(TargetSetTest, FewestInProgressGoesFirst) {
  Known.find(TargetId{"a"})->InProgress = 2;
  Known.find(TargetId{"b"})->InProgress = 1;
  Known.find(TargetId{"c"})->InProgress = 3;
  EXPECT_EQ(pick(Start), "b");
}

TEST_F(TargetSetTest, LeavingTargetGetsNothing) {
  Known.apply(told("a", true));
  Known.apply(told("b", true));
  Known.apply(told("c", true));
  EXPECT_EQ(pick(Start), "");
}

TEST_F(TargetSetTest, TriedTargetIsLeftOut) {
  EXPECT_EQ(pick(Start, {Engines, {}, {TargetId{"a"}, TargetId{"b"}}, 0, 0}),
            "c");
}

TEST_F(TargetSetTest, SamePrefixGoesToSameTarget) {
  const TargetRequest Wanted{Engines, "prefix-7", {}, 6'000, 5'000};
  const auto First = pick(Start, Wanted);
  Known.find(TargetId{First})->InProgress = 2;
  EXPECT_EQ(pick(Start, Wanted), First);
}

TEST_F(TargetSetTest, PopularPrefixSpillsOver) {
  const TargetRequest Wanted{Engines, "prefix-7", {}, 6'000, 5'000};
  const auto First = pick(Start, Wanted);
  Known.find(TargetId{First})->InProgress = 40;
  EXPECT_NE(pick(Start, Wanted), First);
}

TEST_F(TargetSetTest, PausedTargetGoesLast) {
  Known.find(TargetId{"a"})->PausedUntil = Start + Millis{100};
  Known.find(TargetId{"b"})->InProgress = 5;
  Known.find(TargetId{"c"})->InProgress = 5;
  EXPECT_NE(pick(Start), "a");
  EXPECT_EQ(pick(Start + Millis{100}), "a");
}

// A target that left without a word got requests 2.1 s after its entry was
// removed, since an outage three seconds before let it be kept for 2.6 s.
TEST_F(TargetSetTest, RemovedTargetIsDroppedWhileItStillServes) {
  constexpr Millis StillServes{2'000};
  for (const bool Outage : {false, true}) {
    TargetSet Other{DomainId{"near"}};
    Other.apply(told("a"));
    Other.markMissing(Start, TargetId{"a"}, Outage);
    Other.expire(Start + StillServes - Millis{1});
    EXPECT_EQ(Other.size(), 0U);
  }
}

TEST_F(TargetSetTest, TargetForgottenInAnOutageComesBack) {
  Known.markMissing(Start, TargetId{"a"}, true);
  Known.expire(Start + Millis{1'000});
  ASSERT_TRUE(Known.find(TargetId{"a"}));
  Known.apply(told("a"));
  Known.expire(Start + Millis{60'000});
  EXPECT_TRUE(Known.find(TargetId{"a"}));
}

TEST_F(TargetSetTest, NewIncarnationForgetsWhatTheOldOneHad) {
  Known.find(TargetId{"a"})->InProgress = 9;
  auto Again = told("a");
  Again.Incarnation = 2;
  Known.apply(Again);
  EXPECT_EQ(Known.find(TargetId{"a"})->InProgress, 0);
}

// A target that had restarted under another name got requests for its
// predecessor, which it refused.
TEST_F(TargetSetTest, TargetAtTheSameAddressReplacesTheOneBefore) {
  auto Next = told("d");
  Next.Endpoint = told("a").Endpoint;
  Next.Incarnation = 2;
  Known.apply(Next);
  EXPECT_FALSE(Known.find(TargetId{"a"}));
  EXPECT_TRUE(Known.find(TargetId{"d"}));
  Known.apply(told("a"));
  EXPECT_TRUE(Known.find(TargetId{"d"}));
}

TEST_F(TargetSetTest, AddressOfAnotherServiceIsNotOffered) {
  auto Again = told("a");
  Again.Service = ServiceId{"desk"};
  Known.apply(Again);
  EXPECT_EQ(pick(Start, {ServiceId{"desk"}, {}, {}, 0, 0}), "a");
  EXPECT_EQ(pick(Start, {Engines, {}, {TargetId{"b"}, TargetId{"c"}}, 0, 0}),
            "");
}

/// @brief Twelve engines, and requests that stay there.
class LongPrompts : public testing::Test {
protected:
  LongPrompts() {
    for (char Name = 'a'; Name < 'a' + 12; ++Name) {
      Known.apply(told(std::string{Name}.c_str()));
    }
  }

  /// @brief Sends requests and says where they went.
  std::set<std::string> send(int Count, std::int64_t Size) {
    std::set<std::string> Result;
    for (int I = 0; I < Count; ++I) {
      const auto To = Known.pick(Start, {Engines, {}, {}, Size, 0});
      ++To->InProgress;
      Known.observePrompt(Start, To->Registered.Name, Size);
      Result.insert(To->Registered.Name.str());
    }
    return Result;
  }

  static constexpr std::int64_t Long = 30'000;
  static constexpr std::int64_t Short = 1'000;
  TargetSet Known{DomainId{"near"}};
};

TEST_F(LongPrompts, ShareNoTargetWithShortOnes) {
  const auto Longs = send(2, Long);
  const auto Shorts = send(50, Short);
  EXPECT_EQ(Shorts.size(), 10U);
  for (const auto &One : Longs) {
    EXPECT_FALSE(Shorts.contains(One));
  }
}

TEST_F(LongPrompts, GoElsewhereWhileTheirTargetsAreBusy) {
  EXPECT_GT(send(20, Long).size(), 2U);
}

TEST_F(LongPrompts, TargetsOfTheirOwnChangeWithTheService) {
  const auto Longs = send(1, Long);
  Known.markMissing(Start, TargetId{*Longs.begin()}, false);
  Known.expire(Start + Millis{10'000});
  EXPECT_FALSE(send(1, Long).contains(*Longs.begin()));
  EXPECT_EQ(send(60, Short).size(), 10U); // Of eleven, one is kept.
}

TEST_F(TargetSetTest, LongPromptsKeepTheirAffinityInASmallService) {
  const TargetRequest Long{Engines, "prefix", {}, 30'000, 5'000};
  const auto First = pick(Start, Long);
  Known.observePrompt(Start, TargetId{First}, 6'000);
  EXPECT_EQ(pick(Start, Long), First);
}

TEST_F(LongPrompts, RequestsWithoutAPromptUseAllTargets) {
  EXPECT_EQ(send(24, 0).size(), 12U);
}

} // namespace
} // namespace goldcrestnotch::backend
