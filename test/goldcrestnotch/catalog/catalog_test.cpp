/// @file
/// The fold of published configuration.

#include "goldcrestnotch/catalog/catalog.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

Plan planOf(const char *Name, std::uint64_t Base, const char *Changes) {
  return Plan{PlanId{Name}, "op", Base, decodeChanges(Changes)};
}

class Writer {
public:
  void append(const ConfigRecord &Record) {
    Fold.apply(Fold.next(), LogTime{Millis{++Clock}}, Record);
  }
  void confirm(const char *Name) { append(Confirmation{PlanId{Name}, "op"}); }
  [[nodiscard]] PlanState state(const char *Name) const {
    return Fold.find(PlanId{Name})->State;
  }

  Catalog Fold;
  std::int64_t Clock = 0;
};

constexpr const char *RouteOne =
    R"([{"kind":"route","name":"chat","serves":"chat","version":"v1"}])";
constexpr const char *RouteTwo =
    R"([{"kind":"route","name":"chat","serves":"chat","version":"v2"}])";

TEST(Catalog, NothingChangesBeforeConfirmation) {
  Writer Log;
  Log.append(planOf("a", 0, RouteOne));
  EXPECT_TRUE(Log.Fold.routes().empty());
  Log.confirm("a");
  EXPECT_EQ(Log.Fold.routes().size(), 1U);
}

TEST(Catalog, SecondOfTwoRacingPlansLoses) {
  Writer Log;
  Log.append(planOf("a", 0, RouteOne));
  Log.append(planOf("b", 0, RouteTwo));
  Log.confirm("b");
  Log.confirm("a");
  EXPECT_EQ(Log.state("b"), PlanState::Accepted);
  EXPECT_EQ(Log.state("a"), PlanState::Conflicted);
  EXPECT_EQ(Log.Fold.routes().at(RouteId{"chat"}).Version, VersionId{"v2"});
}

TEST(Catalog, ConfirmingTwiceChangesOnce) {
  Writer Log;
  Log.append(planOf("a", 0, RouteOne));
  Log.confirm("a");
  const auto Version = Log.Fold.version();
  Log.confirm("a");
  EXPECT_EQ(Log.Fold.version(), Version);
}

TEST(Catalog, PlansOnDifferentThingsBothWin) {
  Writer Log;
  Log.append(planOf("a", 0, RouteOne));
  Log.append(planOf(
      "b", 0, R"([{"kind":"workspace","name":"stall","key":"secret-key"}])"));
  Log.confirm("a");
  Log.confirm("b");
  EXPECT_EQ(Log.state("a"), PlanState::Accepted);
  EXPECT_EQ(Log.state("b"), PlanState::Accepted);
}

TEST(Catalog, TopUpsOfTwoOperatorsBothCount) {
  Writer Log;
  Log.append(planOf(
      "w", 0, R"([{"kind":"workspace","name":"stall","key":"secret-key"}])"));
  Log.confirm("w");
  const auto *Add = R"([{"kind":"top-up","workspace":"stall","tokens":5}])";
  Log.append(planOf("a", Log.Fold.version(), Add));
  Log.append(planOf("b", Log.Fold.version(), Add));
  Log.confirm("a");
  Log.confirm("b");
  EXPECT_EQ(Log.Fold.topUps().size(), 2U);
}

TEST(Catalog, KeyIsKeptAsItsDigestOnly) {
  Writer Log;
  Log.append(planOf(
      "w", 0, R"([{"kind":"workspace","name":"stall","key":"secret-key"}])"));
  Log.confirm("w");
  EXPECT_EQ(Log.Fold.save().find("secret-key"), std::string::npos);
  EXPECT_NE(Log.Fold.findKey(keyDigest("secret-key")), nullptr);
}

TEST(Catalog, KeyOfAnotherWorkspaceConflicts) {
  Writer Log;
  Log.append(planOf(
      "w", 0, R"([{"kind":"workspace","name":"stall","key":"secret-key"}])"));
  Log.confirm("w");
  Log.append(planOf(
      "x", 9, R"([{"kind":"workspace","name":"other","key":"secret-key"}])"));
  Log.confirm("x");
  EXPECT_EQ(Log.state("x"), PlanState::Conflicted);
}

TEST(Catalog, SavedStateGoesOnAsTheOriginal) {
  Writer Log;
  Log.append(planOf("a", 0, RouteOne));
  Log.confirm("a");
  Log.append(planOf("b", 0, RouteTwo));
  auto Copy = Catalog::load(Log.Fold.save());
  EXPECT_EQ(Copy.save(), Log.Fold.save());
  const ConfigRecord Next{Confirmation{PlanId{"b"}, "op"}};
  Copy.apply(Copy.next(), LogTime{Millis{9}}, Next);
  Log.Clock = 8;
  Log.append(Next);
  EXPECT_EQ(Copy.save(), Log.Fold.save());
}

TEST(DecodeChanges, NamesEveryFault) {
  try {
    (void)decodeChanges(R"([{"kind":"target","name":"a b","route":"r",
      "version":"v","address":"x","domain":"d","capacity":-1,"colour":1},
      {"kind":"top-up","workspace":"w","tokens":99999999999999999999}])");
    FAIL();
  } catch (const std::invalid_argument &Failure) {
    const std::string Text = Failure.what();
    for (const auto *Part :
         {"name", "address", "capacity", "colour", "change 2: tokens"}) {
      EXPECT_NE(Text.find(Part), std::string::npos) << Part;
    }
  }
}

} // namespace
} // namespace goldcrestnotch
