/// @file
/// Tests which VMs are asked for tokens, and in which order.

#include "goldcrestnotch/escrow/lenders.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::escrow {
namespace {

const WorkspaceId Workspace{"stall"};
const Instant Start{Millis{1'000'000}};

/// @brief Applies a record of a VM that has an amount available.
void applyRecord(HolderTable &Table, std::uint64_t Offset,
                 const std::string &Vm, std::int64_t Available) {
  HolderRecord Record;
  Record.ControlAddress = Vm + ":8000";
  Record.Accounts[Workspace] = {Tokens{Available + 5}, Tokens{5}, {}, {}, {}};
  Table.apply({1, Offset}, {Vm, "boot"}, Record);
}

TEST(Lenders, RichestIsAskedFirstAndSelfNever) {
  HolderTable Table;
  applyRecord(Table, 1, "a", 100);
  applyRecord(Table, 2, "b", 300);
  applyRecord(Table, 3, "c", 200);
  const Lenders Ranking;
  EXPECT_EQ(Ranking.rank(Table, "c", Workspace, Start),
            (std::vector<std::string>{"b:8000", "a:8000"}));
}

TEST(Lenders, VmThatRepliedThatNothingIsLeftIsSkipped) {
  HolderTable Table;
  applyRecord(Table, 1, "a", 100);
  applyRecord(Table, 2, "b", 300);
  Lenders Ranking;
  Ranking.recordReply(Table, "b:8000", Workspace, Tokens{}, Start);
  EXPECT_EQ(Ranking.rank(Table, "c", Workspace, Start + Millis{10}),
            (std::vector<std::string>{"a:8000"}));
}

TEST(Lenders, NewerRecordReplacesAReply) {
  HolderTable Table;
  applyRecord(Table, 1, "b", 300);
  Lenders Ranking;
  Ranking.recordReply(Table, "b:8000", Workspace, Tokens{}, Start);
  applyRecord(Table, 2, "b", 40);
  EXPECT_EQ(Ranking.rank(Table, "c", Workspace, Start + Millis{10}).size(), 1U);
}

TEST(Lenders, ReplyExpires) {
  HolderTable Table;
  applyRecord(Table, 1, "b", 300);
  Lenders Ranking;
  Ranking.recordReply(Table, "b:8000", Workspace, Tokens{}, Start);
  EXPECT_EQ(Ranking.rank(Table, "c", Workspace, Start + Millis{5'000}).size(),
            1U);
}

TEST(Lenders, UnresponsiveVmIsLeftOutForAWhile) {
  HolderTable Table;
  applyRecord(Table, 1, "b", 300);
  Lenders Ranking;
  Ranking.markUnresponsive("b:8000", Start);
  EXPECT_TRUE(Ranking.rank(Table, "c", Workspace, Start + Millis{10}).empty());
  EXPECT_EQ(Ranking.rank(Table, "c", Workspace, Start + Millis{5'000}).size(),
            1U);
}

} // namespace
} // namespace goldcrestnotch::escrow
