/// @file
/// Judging VMs by their records.

#include "goldcrestnotch/roster/roster.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::roster {
namespace {

constexpr Instant Start{Millis{100'000}};
constexpr Millis Silence{3'500};

escrow::HolderRecord record(std::uint64_t Sequence, bool Leaving = false) {
  escrow::HolderRecord Result;
  Result.Sequence = Sequence;
  Result.Entry = "10.0.0.1:80";
  Result.Control = "10.0.0.1:81";
  Result.Leaving = Leaving;
  return Result;
}

const escrow::HolderName First{"10.0.0.1", "a"};

TEST(Roster, SilentVmIsLeftOut) {
  Roster Vms{Silence};
  Vms.observe(Start, First, record(1));
  EXPECT_EQ(Vms.entries(Start + Silence - Millis{1}).size(), 1U);
  EXPECT_TRUE(Vms.entries(Start + Silence).empty());
}

TEST(Roster, LeavingVmIsLeftOutAtOnce) {
  Roster Vms{Silence};
  Vms.observe(Start, First, record(1));
  Vms.observe(Start, First, record(2, true));
  EXPECT_TRUE(Vms.entries(Start).empty());
}

TEST(Roster, RecordReadAgainIsNoSignOfLife) {
  Roster Vms{Silence};
  Vms.observe(Start, First, record(1));
  Vms.observe(Start + Silence, First, record(1));
  EXPECT_TRUE(Vms.entries(Start + Silence).empty());
}

TEST(Roster, NobodyIsDownWhileNothingCanBeRead) {
  Roster Vms{Silence};
  Vms.observe(Start, First, record(1));
  for (Millis Away{0}; Away < Millis{20'000}; Away += Millis{250}) {
    Vms.forgive(Start + Away, Start);
  }
  EXPECT_EQ(Vms.entries(Start + Millis{20'000}).size(), 1U);
}

TEST(Roster, VmThatWasDownBeforeStaysDown) {
  Roster Vms{Silence};
  Vms.observe(Start, First, record(1));
  const auto Outage = Start + Silence + Millis{1};
  Vms.forgive(Outage, Outage);
  EXPECT_TRUE(Vms.entries(Outage).empty());
}

} // namespace
} // namespace goldcrestnotch::roster
