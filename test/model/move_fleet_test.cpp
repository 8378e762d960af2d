/// @file
/// Version moves with several request rates, faults and seeds: good moves
/// complete, bad ones are rolled back before many requests meet the fault.

#include "model/move_fleet.hpp"

#include <gtest/gtest.h>

namespace model {
namespace {

constexpr std::uint64_t SeedCount = 15;

MoveTrial trial(double PerSecond, FaultKind Fault) {
  MoveTrial Result;
  Result.PerSecond = PerSecond;
  Result.Fault = Fault;
  if (PerSecond < 1) {
    Result.Length = std::chrono::hours{24};
  }
  return Result;
}

void expectOutcome(const MoveTrial &Trial, MoveOutcome End,
                   std::uint64_t MaxExposed) {
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    SCOPED_TRACE(Seed);
    const auto Result = MoveFleet{Trial, Seed}.run();
    EXPECT_EQ(Result.End, End);
    EXPECT_TRUE(Result.InTime);
    EXPECT_LE(Result.Exposed, MaxExposed);
  }
}

TEST(MoveFleet, GoodMovesAreDoneWithManyRequests) {
  expectOutcome(trial(300, FaultKind::None), MoveOutcome::Completed, 0);
}

TEST(MoveFleet, GoodMovesAreDoneWithFewRequests) {
  expectOutcome(trial(0.002, FaultKind::None), MoveOutcome::Completed, 0);
}

TEST(MoveFleet, BadMovesAreTakenBackWithManyRequests) {
  // At most one in a hundred of about 18,000 requests meets the fault.
  for (const auto Fault : {FaultKind::AtOnce, FaultKind::Later,
                           FaultKind::UnderLoad, FaultKind::Slow}) {
    expectOutcome(trial(300, Fault), MoveOutcome::RolledBack, 180);
  }
}

TEST(MoveFleet, BadMovesAreTakenBackWithFewRequests) {
  for (const auto Fault :
       {FaultKind::AtOnce, FaultKind::Later, FaultKind::Slow}) {
    expectOutcome(trial(0.002, Fault), MoveOutcome::RolledBack, 10);
  }
}

TEST(MoveFleet, BadMoveIsHeldBackWhileTheLogIsOut) {
  auto Trial = trial(100, FaultKind::AtOnce);
  Trial.OutageStart = Millis{10'000};
  Trial.OutageDuration = Millis{70'000};
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    const auto Result = MoveFleet{Trial, Seed}.run();
    EXPECT_LE(Result.Exposed, 60U); // At most one request in a hundred.
    EXPECT_NE(Result.End, MoveOutcome::Completed);
  }
}

} // namespace
} // namespace model
