/// @file
/// Version moves over many seeds, rates and faults.

#include "model/move_fleet.hpp"

#include <gtest/gtest.h>

namespace model {
namespace {

constexpr std::uint64_t SeedCount = 15;

MoveTrial trial(double PerSecond, Badness What) {
  MoveTrial Result;
  Result.PerSecond = PerSecond;
  Result.What = What;
  if (PerSecond < 1) {
    Result.Length = std::chrono::hours{24};
  }
  return Result;
}

void expectAll(const MoveTrial &Given, MoveOutcome End,
               std::uint64_t MostExposed) {
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    SCOPED_TRACE(Seed);
    const auto Result = MoveFleet{Given, Seed}.go();
    EXPECT_EQ(Result.End, End);
    EXPECT_TRUE(Result.InTime);
    EXPECT_LE(Result.Exposed, MostExposed);
  }
}

TEST(MoveFleet, GoodMovesAreDoneWithManyRequests) {
  expectAll(trial(300, Badness::None), MoveOutcome::Completed, 0);
}

TEST(MoveFleet, GoodMovesAreDoneWithFewRequests) {
  expectAll(trial(0.002, Badness::None), MoveOutcome::Completed, 0);
}

TEST(MoveFleet, BadMovesAreTakenBackWithManyRequests) {
  // One request in a hundred, of some 18,000.
  for (const auto What :
       {Badness::AtOnce, Badness::Later, Badness::UnderLoad, Badness::Slow}) {
    expectAll(trial(300, What), MoveOutcome::RolledBack, 180);
  }
}

TEST(MoveFleet, BadMovesAreTakenBackWithFewRequests) {
  for (const auto What : {Badness::AtOnce, Badness::Later, Badness::Slow}) {
    expectAll(trial(0.002, What), MoveOutcome::RolledBack, 10);
  }
}

TEST(MoveFleet, BadMoveIsHeldBackWhileTheLogIsOut) {
  auto Given = trial(100, Badness::AtOnce);
  Given.OutageFrom = Millis{10'000};
  Given.OutageFor = Millis{70'000};
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    const auto Result = MoveFleet{Given, Seed}.go();
    EXPECT_LE(Result.Exposed, 60U); // One request in a hundred.
    EXPECT_NE(Result.End, MoveOutcome::Completed);
  }
}

} // namespace
} // namespace model
