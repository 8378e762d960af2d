/// @file
/// Ranks lenders by the tokens that they are known to hold.

#include "goldcrestnotch/escrow/lenders.hpp"

#include <algorithm>

namespace goldcrestnotch::escrow {

namespace internal {

/// How long a reply is used without a newer record. Requests end and settle in
/// about this time, which changes what the VM holds.
static constexpr Millis ReplyLifetime{1'000};
/// How long a VM that did not reply is left out.
static constexpr Millis UnresponsiveTimeout{2'000};

/// @brief Position of the newest record of a VM; the first one if it has none.
[[nodiscard]] static store::Position
newestPlace(const HolderTable &Table, const std::string &ControlAddress) {
  store::Position Newest;
  for (const auto &[Name, Entry] : Table.entries()) {
    if (Entry.Record && Entry.Record->ControlAddress == ControlAddress) {
      Newest = std::max(Newest, Entry.Place);
    }
  }
  return Newest;
}

} // namespace internal

std::vector<std::string> Lenders::rank(const HolderTable &Table,
                                       const std::string &Self,
                                       const WorkspaceId &Workspace,
                                       Instant Now) const {
  std::vector<std::pair<Tokens, std::string>> Candidates;
  for (const auto &[Name, Entry] : Table.entries()) {
    if (!Entry.Record || Name.Vm == Self ||
        Entry.Record->ControlAddress.empty()) {
      continue;
    }
    const auto &ControlAddress = Entry.Record->ControlAddress;
    const auto Account = Entry.Record->Accounts.find(Workspace);
    if (Account == Entry.Record->Accounts.end() ||
        !isPossible(Account->second) || unresponsive(ControlAddress, Now)) {
      continue;
    }
    Tokens Available = Account->second.Drawn - Account->second.Spent;
    const auto LastReply = Replies.find({ControlAddress, Workspace});
    if (LastReply != Replies.end() &&
        LastReply->second.RecordPlace == Entry.Place &&
        Now < LastReply->second.Deadline) {
      Available = LastReply->second.Available;
    }
    if (Available > Tokens{}) {
      Candidates.emplace_back(Available, ControlAddress);
    }
  }
  std::sort(Candidates.rbegin(), Candidates.rend());
  std::vector<std::string> Result;
  Result.reserve(Candidates.size());
  for (auto &[Available, ControlAddress] : Candidates) {
    Result.push_back(std::move(ControlAddress));
  }
  return Result;
}

void Lenders::recordReply(const HolderTable &Table,
                          const std::string &ControlAddress,
                          const WorkspaceId &Workspace, Tokens Available,
                          Instant Now) {
  Replies[{ControlAddress, Workspace}] = {
      Available, internal::newestPlace(Table, ControlAddress),
      Now + internal::ReplyLifetime};
}

bool Lenders::unresponsive(const std::string &ControlAddress,
                           Instant Now) const {
  const auto It = UnresponsiveDeadlines.find(ControlAddress);
  return It != UnresponsiveDeadlines.end() && Now < It->second;
}

void Lenders::markUnresponsive(const std::string &ControlAddress, Instant Now) {
  UnresponsiveDeadlines[ControlAddress] = Now + internal::UnresponsiveTimeout;
}

} // namespace goldcrestnotch::escrow
