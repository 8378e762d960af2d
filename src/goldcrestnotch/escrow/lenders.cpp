/// @file
/// Ranking lenders.

#include "goldcrestnotch/escrow/lenders.hpp"

#include <algorithm>

namespace goldcrestnotch::escrow {

namespace internal {

/// An answer holds this long without a newer record: requests end and settle
/// about as fast.
static constexpr Millis AnswerKept{1'000};
/// A VM that did not answer is left out for this long.
static constexpr Millis SilentPause{2'000};

[[nodiscard]] static std::uint64_t recordOf(const HolderTable &Known,
                                            const std::string &Control) {
  std::uint64_t Newest = 0;
  for (const auto &[TokenHolder, Entry] : Known.entries()) {
    if (Entry.Record && Entry.Record->Control == Control) {
      Newest = std::max(Newest, Entry.Offset);
    }
  }
  return Newest;
}

} // namespace internal

std::vector<std::string> Lenders::rank(const HolderTable &Known,
                                       const std::string &Self,
                                       const WorkspaceId &Name,
                                       Instant Now) const {
  std::vector<std::pair<Tokens, std::string>> Found;
  for (const auto &[TokenHolder, Entry] : Known.entries()) {
    if (!Entry.Record || TokenHolder.Vm == Self) {
      continue;
    }
    const auto &Control = Entry.Record->Control;
    const auto Account = Entry.Record->Accounts.find(Name);
    if (Account == Entry.Record->Accounts.end() || silent(Control, Now)) {
      continue;
    }
    Tokens Left = Account->second.Drawn - Account->second.Spent;
    const auto Told = Answers.find({Control, Name});
    if (Told != Answers.end() && Told->second.Record == Entry.Offset &&
        Now < Told->second.Deadline) {
      Left = Told->second.Left;
    }
    if (Left > Tokens{}) {
      Found.emplace_back(Left, Control);
    }
  }
  std::sort(Found.rbegin(), Found.rend());
  std::vector<std::string> Result;
  Result.reserve(Found.size());
  for (auto &[Left, Control] : Found) {
    Result.push_back(std::move(Control));
  }
  return Result;
}

void Lenders::told(const HolderTable &Known, const std::string &Control,
                   const WorkspaceId &Name, Tokens Left, Instant Now) {
  Answers[{Control, Name}] = {Left, internal::recordOf(Known, Control),
                              Now + internal::AnswerKept};
}

bool Lenders::silent(const std::string &Control, Instant Now) const {
  const auto It = SilentDeadline.find(Control);
  return It != SilentDeadline.end() && Now < It->second;
}

void Lenders::silence(const std::string &Control, Instant Now) {
  SilentDeadline[Control] = Now + internal::SilentPause;
}

} // namespace goldcrestnotch::escrow
