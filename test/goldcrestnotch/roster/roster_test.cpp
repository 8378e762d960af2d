/// @file
/// Judging VMs by their records.

#include "goldcrestnotch/roster/roster.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::roster {
namespace {

constexpr Instant Start{Millis{100'000}};
constexpr Millis Silence{3'500};

MemberRecord record(std::uint64_t Sequence, bool Leaving = false) {
  MemberRecord Result;
  Result.Incarnation = "a";
  Result.Sequence = Sequence;
  Result.Entry = "10.0.0.1:80";
  Result.Control = "10.0.0.1:81";
  Result.Leaving = Leaving;
  return Result;
}

const std::string First{"10.0.0.1"};

TEST(Roster, SilentVmIsLeftOut) {
  Roster Vms{Silence};
  Vms.observe(Start, First, record(1));
  EXPECT_EQ(Vms.callerAddresses(Start + Silence - Millis{1}).size(), 1U);
  EXPECT_TRUE(Vms.callerAddresses(Start + Silence).empty());
}

TEST(Roster, LeavingVmIsLeftOutAtOnce) {
  Roster Vms{Silence};
  Vms.observe(Start, First, record(1));
  Vms.observe(Start, First, record(2, true));
  EXPECT_TRUE(Vms.callerAddresses(Start).empty());
}

TEST(Roster, RecordReadAgainIsNoSignOfLife) {
  Roster Vms{Silence};
  Vms.observe(Start, First, record(1));
  Vms.observe(Start + Silence, First, record(1));
  EXPECT_TRUE(Vms.callerAddresses(Start + Silence).empty());
}

TEST(Roster, NobodyIsDownWhileNothingCanBeRead) {
  Roster Vms{Silence};
  Vms.observe(Start, First, record(1));
  for (Millis Away{0}; Away < Millis{20'000}; Away += Millis{250}) {
    Vms.extendDeadlines(Start + Away, Start);
  }
  EXPECT_EQ(Vms.callerAddresses(Start + Millis{20'000}).size(), 1U);
}

TEST(Roster, VmThatWasDownBeforeStaysDown) {
  Roster Vms{Silence};
  Vms.observe(Start, First, record(1));
  const auto Outage = Start + Silence + Millis{1};
  Vms.extendDeadlines(Outage, Outage);
  EXPECT_TRUE(Vms.callerAddresses(Outage).empty());
}

TEST(Roster, NewProcessOfAVmCountsFromTheStart) {
  Roster Vms{Silence};
  Vms.observe(Start, First, record(9, true));
  auto Next = record(1);
  Next.Incarnation = "b";
  Vms.observe(Start, First, Next);
  EXPECT_EQ(Vms.callerAddresses(Start).size(), 1U);
}

TEST(Roster, EvidenceOfAMoveIsSummedOverVms) {
  Roster Vms{Silence};
  for (const auto *Vm : {"10.0.0.1", "10.0.0.2"}) {
    auto Told = record(1);
    Told.Moves["llm"] = {VersionId{"2"}, {10, 1, 0}, {4, 2, 1}};
    Vms.observe(Start, Vm, Told);
  }
  const auto Sum = Vms.evidence("llm", VersionId{"2"});
  EXPECT_EQ(Sum.Old.Requests, 20U);
  EXPECT_EQ(Sum.New.Failed, 4U);
  EXPECT_EQ(Vms.evidence("llm", VersionId{"3"}).New.Requests, 0U);
}

TEST(MemberRecord, IsReadAsItWasWritten) {
  auto Told = record(7, true);
  Told.Power = 12;
  Told.Moves["llm"] = {VersionId{"2"}, {10, 1, 0}, {4, 2, 1}};
  EXPECT_EQ(decodeMember(encode(Told)), Told);
  EXPECT_FALSE(decodeMember("no record"));
}

} // namespace
} // namespace goldcrestnotch::roster
