/// @file
/// Whom a VM asks for tokens.

#include "goldcrestnotch/escrow/lenders.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::escrow {
namespace {

const WorkspaceId Stall{"stall"};
const Instant Start{Millis{1'000'000}};

void holds(HolderTable &Known, std::uint64_t Offset, const std::string &Vm,
           std::int64_t Left) {
  HolderRecord Record;
  Record.Control = Vm + ":8000";
  Record.Accounts[Stall] = {Tokens{Left + 5}, Tokens{5}, {}, {}, {}};
  Known.apply(Offset, {Vm, "boot"}, Record);
}

TEST(Lenders, RichestIsAskedFirstAndSelfNever) {
  HolderTable Known;
  holds(Known, 1, "a", 100);
  holds(Known, 2, "b", 300);
  holds(Known, 3, "c", 200);
  const Lenders Others;
  EXPECT_EQ(Others.rank(Known, "c", Stall, Start),
            (std::vector<std::string>{"b:8000", "a:8000"}));
}

TEST(Lenders, WhoSaidThatNothingIsLeftIsPassedOver) {
  HolderTable Known;
  holds(Known, 1, "a", 100);
  holds(Known, 2, "b", 300);
  Lenders Others;
  Others.told(Known, "b:8000", Stall, Tokens{}, Start);
  EXPECT_EQ(Others.rank(Known, "c", Stall, Start + Millis{10}),
            (std::vector<std::string>{"a:8000"}));
}

TEST(Lenders, NewerRecordReplacesAnAnswer) {
  HolderTable Known;
  holds(Known, 1, "b", 300);
  Lenders Others;
  Others.told(Known, "b:8000", Stall, Tokens{}, Start);
  holds(Known, 2, "b", 40);
  EXPECT_EQ(Others.rank(Known, "c", Stall, Start + Millis{10}).size(), 1U);
}

TEST(Lenders, AnswerIsForgottenInTime) {
  HolderTable Known;
  holds(Known, 1, "b", 300);
  Lenders Others;
  Others.told(Known, "b:8000", Stall, Tokens{}, Start);
  EXPECT_EQ(Others.rank(Known, "c", Stall, Start + Millis{5'000}).size(), 1U);
}

TEST(Lenders, SilentVmIsLeftOutForAWhile) {
  HolderTable Known;
  holds(Known, 1, "b", 300);
  Lenders Others;
  Others.silence("b:8000", Start);
  EXPECT_TRUE(Others.rank(Known, "c", Stall, Start + Millis{10}).empty());
  EXPECT_EQ(Others.rank(Known, "c", Stall, Start + Millis{5'000}).size(), 1U);
}

} // namespace
} // namespace goldcrestnotch::escrow
