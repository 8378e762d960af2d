/// @file
/// Reserves and settles tokens, and decides how many to draw and give back.

#include "goldcrestnotch/escrow/token_holder.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace goldcrestnotch::escrow {

namespace internal {

/// A record is written soon if more than this percentage of the desired number
/// of tokens is held.
static constexpr std::int64_t SurplusPercent = 140;
/// A record is written soon if less than this percentage of the desired number
/// of tokens is held.
static constexpr std::int64_t LowPercent = 90;

[[nodiscard]] static Tokens accountDrawn(const HolderRecord &Record,
                                         const WorkspaceId &Workspace) {
  const auto It = Record.Accounts.find(Workspace);
  return It == Record.Accounts.end() ? Tokens{} : It->second.Drawn;
}

[[nodiscard]] static double seconds(Millis Span) {
  return std::chrono::duration<double>(Span).count();
}

/// Number of ended processes that a record names. A VM that has not heard of
/// the end of an earlier one has been cut off for longer than a copy of the
/// store is old.
static constexpr std::size_t MaxReplaced = 8;

/// @brief Adds names that a list doesn't contain.
static void add(std::vector<std::string> &Into,
                const std::vector<std::string> &Names) {
  for (const auto &Name : Names) {
    if (std::find(Into.begin(), Into.end(), Name) == Into.end()) {
      Into.push_back(Name);
    }
  }
}

static void add(InheritedAccounts &Into, const InheritedAccounts &Accounts) {
  for (const auto &[Workspace, Ended] : Accounts) {
    auto &Sum = Into[Workspace];
    Sum.Drawn += Ended.Drawn;
    Sum.InDoubt += Ended.InDoubt;
  }
}

} // namespace internal

InheritedAccounts Proposal::inherited() const {
  InheritedAccounts Result;
  for (const auto &[Name, Accounts] : EndedHolders) {
    internal::add(Result, Accounts);
  }
  return Result;
}

Tokens TokenHolder::minDrawn(const WorkspaceId &Workspace) const {
  Tokens Min = internal::accountDrawn(Confirmed, Workspace);
  for (const auto &Sent : Pending) {
    // The tokens of ended processes are no tokens that this one can use.
    Tokens Drawn = internal::accountDrawn(Sent.Record, Workspace);
    for (const auto &[Name, Accounts] : Sent.EndedHolders) {
      const auto Ended = Accounts.find(Workspace);
      Drawn -= Ended == Accounts.end() ? Tokens{} : Ended->second.Drawn;
    }
    Min = std::min(Min, Drawn);
  }
  return Min;
}

Tokens TokenHolder::available(const WorkspaceId &Workspace) const {
  const auto It = States.find(Workspace);
  if (It == States.end()) {
    return minDrawn(Workspace);
  }
  const auto &State = It->second;
  return minDrawn(Workspace) + State.Borrowed - State.Spent - State.Reserved;
}

std::vector<WorkspaceId> TokenHolder::workspaces() const {
  std::vector<WorkspaceId> Result;
  for (const auto &[Workspace, State] : States) {
    Result.push_back(Workspace);
  }
  return Result;
}

double TokenHolder::rate(const WorkspaceState &State, Instant Now) const {
  const double Window = internal::seconds(Size.RateWindow);
  const double Sum = State.RecentDemand * decayFactor(State, Now);
  // Corrects for a short history, whose average covers only this part of the
  // window.
  const double Coverage =
      1.0 -
      std::exp(-std::max(internal::seconds(Now - State.FirstDemand), 1.0) /
               Window);
  return Sum / Window / Coverage;
}

void TokenHolder::addDemand(WorkspaceState &State, Instant Now,
                            Tokens Amount) const {
  if (State.FirstDemand == Instant{}) {
    State.FirstDemand = Now;
  }
  const double Factor = decayFactor(State, Now);
  State.RecentDemand *= Factor;
  State.RecentlyLent *= Factor;
  State.RecentDemand =
      std::max(State.RecentDemand + static_cast<double>(Amount.count()), 0.0);
  State.DecayTime = Now;
}

double TokenHolder::decayFactor(const WorkspaceState &State,
                                Instant Now) const {
  return std::exp(-internal::seconds(Now - State.DecayTime) /
                  internal::seconds(Size.RateWindow));
}

Admission TokenHolder::reserve(Instant Now, const HolderTable &Table,
                               const WorkspaceId &Workspace, Tokens Budget,
                               Tokens Bound) {
  auto &State = States[Workspace];
  if (Bound <= available(Workspace)) {
    State.Reserved += Bound;
    addDemand(State, Now, Bound);
    return Admission::Admitted;
  }
  return exhausted(Table, Workspace, Budget, Bound) ? Admission::Exhausted
                                                    : Admission::Short;
}

bool TokenHolder::exhausted(const HolderTable &Table,
                            const WorkspaceId &Workspace, Tokens Budget,
                            Tokens Bound) const {
  if (Bound > Budget) {
    return true;
  }
  const auto It = States.find(Workspace);
  const WorkspaceState State =
      It == States.end() ? WorkspaceState{} : It->second;
  const auto Sums = Table.totals(Workspace);
  const auto Own = Confirmed.Accounts.find(Workspace);
  const Tokens Reported = Own == Confirmed.Accounts.end()
                              ? Tokens{}
                              : Own->second.Spent - Own->second.InDoubt;
  const Tokens Unreported = State.Spent - State.InDoubt - Reported;
  return Budget - (Sums.Spent - Sums.InDoubt) - Unreported < Bound;
}

void TokenHolder::requestTokens(Instant Now, const WorkspaceId &Workspace,
                                Tokens Bound) {
  auto &State = States[Workspace];
  State.Wanted = std::max(State.Wanted, Bound);
  State.WantedDeadline = Now + Size.WantedTimeout;
  WriteRequested = true;
}

void TokenHolder::recordUnmetDemand(Instant Now, const WorkspaceId &Workspace,
                                    Tokens Bound) {
  addDemand(States[Workspace], Now, Bound);
}

bool TokenHolder::prefetches(const WorkspaceId &Workspace) const {
  const auto It = States.find(Workspace);
  return It != States.end() && It->second.Prefetches;
}

bool TokenHolder::hasHeavyDemand(Instant Now, const WorkspaceState &State,
                                 Tokens OthersRate) const {
  const double OwnRate = rate(State, Now);
  return OwnRate > 0 && OwnRate * static_cast<double>(Size.HomesSmallFleet) >=
                            OwnRate + static_cast<double>(OthersRate.count());
}

Tokens TokenHolder::amountToBorrow(Instant Now, const WorkspaceId &Workspace,
                                   Tokens Bound) const {
  const auto It = States.find(Workspace);
  const double Rate = It == States.end() ? 0.0 : rate(It->second, Now);
  const auto Span = Joined ? Size.BorrowSpan : Size.BorrowSpanUnjoined;
  const Tokens Demand = toTokens(Rate * internal::seconds(Span));
  return std::max(Bound - available(Workspace), Tokens{}) + Demand;
}

Tokens TokenHolder::lend(Instant Now, const WorkspaceId &Workspace,
                         Tokens Requested) {
  auto &State = States[Workspace];
  const Tokens Keep =
      toTokens((Leaving || HasBorrowers ? 0.0 : rate(State, Now)) *
               internal::seconds(Size.LendReserveSpan));
  const Tokens Given =
      std::min(Requested, std::max(available(Workspace) - Keep, Tokens{}));
  const Tokens FromBorrowed = std::min(State.Borrowed, Given);
  State.Borrowed -= FromBorrowed;
  State.Spent += Given - FromBorrowed;
  State.InDoubt += Given - FromBorrowed;
  if (HasBorrowers) {
    // A home prefetches for the demand of its borrowers as well.
    addDemand(State, Now, Given);
    State.RecentlyLent += static_cast<double>(Given.count());
  }
  return Given;
}

void TokenHolder::acceptLoan(const WorkspaceId &Workspace, Tokens Amount) {
  States[Workspace].Borrowed += Amount;
}

Tokens TokenHolder::takeUnreportedUse(const WorkspaceId &Workspace) {
  return std::exchange(States[Workspace].UnreportedUse, Tokens{});
}

void TokenHolder::restoreUnreportedUse(const WorkspaceId &Workspace,
                                       Tokens Used) {
  States[Workspace].UnreportedUse += Used;
}

Tokens TokenHolder::takeSurplus(Instant Now, const WorkspaceId &Workspace) {
  const Tokens Keep =
      Leaving ? Tokens{} : amountToBorrow(Now, Workspace, Tokens{});
  const Tokens Surplus = std::max(available(Workspace) - Keep, Tokens{});
  auto &State = States[Workspace];
  const Tokens Returned = std::min(Surplus, State.Borrowed);
  State.Borrowed -= Returned;
  return Returned;
}

void TokenHolder::confirmUse(const WorkspaceId &Workspace, Tokens Used) {
  auto &State = States[Workspace];
  State.InDoubt -= Used;
  State.RecentlyLent =
      std::max(State.RecentlyLent - static_cast<double>(Used.count()), 0.0);
}

void TokenHolder::acceptReturn(Instant Now, const WorkspaceId &Workspace,
                               Tokens Returned) {
  auto &State = States[Workspace];
  State.Spent -= Returned;
  State.InDoubt -= Returned;
  addDemand(State, Now, Tokens{} - Returned); // Unused tokens are no demand.
  State.RecentlyLent =
      std::max(State.RecentlyLent - static_cast<double>(Returned.count()), 0.0);
}

void TokenHolder::settle(Instant Now, const WorkspaceId &Workspace,
                         Tokens Bound, Tokens Spent) {
  auto &State = States[Workspace];
  Spent = std::clamp(Spent, Tokens{}, Bound);
  addDemand(State, Now, Spent - Bound);
  State.Reserved -= Bound;
  const Tokens FromBorrowed = std::min(State.Borrowed, Spent);
  State.Borrowed -= FromBorrowed;
  State.Spent += Spent - FromBorrowed;
  // The lender counts these tokens as in doubt until their use is known: from
  // this VM's record, or from a report if it has no record.
  if (Joined) {
    State.InDoubt -= FromBorrowed;
  } else {
    State.UnreportedUse += FromBorrowed;
  }
}

void TokenHolder::inherit(const HolderTable &Table, const BudgetLookup &Budgets,
                          Proposal &Into) const {
  std::map<WorkspaceId, Tokens> WrittenOff;
  for (const auto &[Name, Entry] : Table.entries()) {
    if (!Entry.Record || Name.Vm != Self.Vm || Name == Self) {
      continue;
    }
    const auto Taken = TakenOver.find(Name);
    if (DrawsSuspended && Taken == TakenOver.end()) {
      continue;
    }
    auto &Accounts = Into.EndedHolders[Name];
    for (const auto &[Workspace, Ended] : Entry.Record->Accounts) {
      auto &Amount = Accounts[Workspace];
      if (const auto Counted = countable(Ended)) {
        Amount.Drawn = Counted->Drawn;
        Amount.InDoubt = Counted->Drawn - Counted->Spent + Counted->InDoubt;
      } else if (Taken != TakenOver.end()) {
        const auto Before = Taken->second.find(Workspace);
        Amount =
            Before == Taken->second.end() ? InheritedTokens{} : Before->second;
      } else {
        // It may have drawn all that no other holder has.
        auto &Sum = WrittenOff[Workspace];
        Amount.Drawn = std::max(Budgets(Workspace).value_or(Tokens{}) -
                                    Table.totals(Workspace).Drawn - Sum,
                                Tokens{});
        Amount.InDoubt = Amount.Drawn;
        Sum += Amount.Drawn;
      }
    }
    if (Taken == TakenOver.end()) {
      continue;
    }
    // A newer record than the one that was taken over may have appeared since.
    for (const auto &[Workspace, Counted] : Taken->second) {
      auto &Amount = Accounts[Workspace];
      Amount.Drawn -= Counted.Drawn;
      Amount.InDoubt -= Counted.InDoubt;
    }
  }
}

std::vector<std::string>
TokenHolder::replacedIncarnations(const HolderTable &Table,
                                  const Proposal &Next) const {
  auto Result = Confirmed.Replaced;
  for (const auto &[Name, Accounts] : Next.EndedHolders) {
    if (const auto *Ended = Table.find(Name)) {
      internal::add(Result, Ended->Replaced);
    }
    internal::add(Result, {Name.Incarnation});
  }
  if (Result.size() > internal::MaxReplaced) {
    Result.erase(Result.begin(), Result.end() - internal::MaxReplaced);
  }
  return Result;
}

void TokenHolder::takeOver(const HolderName &Ended,
                           const InheritedAccounts &Accounts) {
  for (const auto &[Workspace, Amount] : Accounts) {
    auto &State = States[Workspace];
    State.Spent += Amount.Drawn;
    State.InDoubt += Amount.InDoubt;
  }
  internal::add(TakenOver[Ended], Accounts);
}

std::map<WorkspaceId, Tokens>
TokenHolder::replacedDraws(const HolderTable &Table,
                           const Proposal &Next) const {
  std::map<WorkspaceId, Tokens> Result;
  for (const auto &[Name, Entry] : Table.entries()) {
    const bool IsReplaced = Name == Self || Next.EndedHolders.contains(Name);
    if (!Entry.Record || !IsReplaced) {
      continue;
    }
    for (const auto &[Workspace, Stated] : Entry.Record->Accounts) {
      if (const auto Counted = countable(Stated)) {
        Result[Workspace] += Counted->Drawn;
      }
    }
  }
  return Result;
}

double TokenHolder::prefetchShare(Tokens Left, Tokens Budget) const {
  const auto Percent = LargeFleet ? Size.MaxPercentLending : Size.MaxPercent;
  const auto Scarce = Budget * Size.ScarcePercent / 100;
  // Homes that lend already hold less by what they have lent.
  const double Plenty = HasBorrowers || Left >= Scarce
                            ? 1.0
                            : static_cast<double>(Left.count()) /
                                  static_cast<double>(Scarce.count());
  return static_cast<double>(Percent) / 100 * Plenty * Plenty;
}

Tokens TokenHolder::desiredHolding(Instant Now, const WorkspaceState &State,
                                   const Totals &Sums, Tokens Budget,
                                   Tokens Own, std::size_t Vms) const {
  if (Leaving) {
    return State.Reserved;
  }
  const auto Count = static_cast<std::int64_t>(std::max<std::size_t>(Vms, 1));
  const Tokens Free = std::max(Sums.free(Budget), Tokens{});
  const double Rate = rate(State, Now);
  const Tokens Demand = toTokens(Rate * internal::seconds(Size.Horizon));
  const Tokens Floor = (Free + Own) / (Size.FloorDivisor * Count);
  const double FleetRate =
      std::max(static_cast<double>(Sums.Rate.count()), Rate) + 1.0;
  const Tokens Left = std::max(Budget - Sums.Spent, Tokens{});
  const Tokens Share =
      toTokens(static_cast<double>(Left.count()) * prefetchShare(Left, Budget) *
               std::max(Rate / FleetRate, 0.5 / static_cast<double>(Count)));
  const Tokens Lent = toTokens(State.RecentlyLent * decayFactor(State, Now));
  return State.Reserved +
         std::max(std::min(Demand, std::max(Share - Lent, Tokens{})), Floor);
}

Account TokenHolder::nextAccount(Instant Now, const WorkspaceState &State,
                                 const Totals &Sums, Tokens Budget, Tokens Own,
                                 std::size_t Vms, bool &Urgent) const {
  Account Result;
  Result.Spent = State.Spent;
  Result.InDoubt = State.InDoubt;
  Result.Rate = State.Prefetches ? toTokens(rate(State, Now)) : Tokens{};
  Result.Drawn = Own;
  const Tokens Free = Sums.free(Budget);
  const Tokens Held = Own + State.Borrowed - State.Spent;
  const Tokens Desired =
      State.Prefetches
          ? desiredHolding(Now, State, Sums, Budget, Own - State.Spent, Vms)
          : State.Reserved;
  const Tokens Need = Leaving ? Tokens{} : State.Wanted;
  const Tokens Goal = std::max(Desired, State.Reserved + Need);
  if (Held < Goal && Free > Tokens{} && !DrawsSuspended) {
    Result.Drawn += std::min(Goal - Held, Free);
    Urgent |= Held < Desired * internal::LowPercent / 100 || Need > Tokens{};
  } else if (Held > Goal && Sums.Unknown == 0) {
    // Surplus borrowed tokens are given back as well: they stay spent at the
    // lender, and lowering the drawn amount here frees as many. While an
    // account is unknown, nobody could draw what is given back.
    Result.Drawn -= Held - Goal;
    const bool LargeSurplus =
        State.Prefetches && Held > Goal * internal::SurplusPercent / 100;
    Urgent |=
        Sums.Wanted > Tokens{} || Leaving || Free < Tokens{} || LargeSurplus;
  }
  const Tokens AvailableNext =
      Result.Drawn + State.Borrowed - State.Spent - State.Reserved;
  Result.Wanted = Need > AvailableNext ? Need - AvailableNext : Tokens{};
  return Result;
}

Proposal TokenHolder::propose(Instant Now, const HolderTable &Table,
                              const BudgetLookup &Budgets,
                              const std::vector<WorkspaceId> &Workspaces,
                              std::size_t Vms, const HomePredicate &IsHome) {
  Proposal Result;
  const auto HomeCount = Size.homeCount(Vms);
  HasBorrowers = Vms > HomeCount;
  LargeFleet = Vms > Size.MaxSmallFleet;
  Joined = true;
  inherit(Table, Budgets, Result);
  const auto Inherited = Result.inherited();
  const auto Replaced = replacedDraws(Table, Result);
  for (const auto &Workspace : Workspaces) {
    States.try_emplace(Workspace);
  }
  for (const auto &[Workspace, Ended] : Inherited) {
    States.try_emplace(Workspace);
  }
  Result.Record.Sequence = ++LastSequence;
  Result.Record.Replaced = replacedIncarnations(Table, Result);
  for (auto &[Workspace, State] : States) {
    State.Wanted = Now < State.WantedDeadline ? State.Wanted : Tokens{};
    const auto Known = Confirmed.Accounts.find(Workspace);
    const Account Previous =
        Known == Confirmed.Accounts.end() ? Account{} : Known->second;
    auto Sums = Table.totals(Workspace);
    // This VM's own request is no reason for it to give tokens back.
    Sums.Wanted -= Previous.Wanted;
    InheritedTokens Ended;
    if (const auto It = Inherited.find(Workspace); It != Inherited.end()) {
      Ended = It->second;
    }
    const Tokens Own = Previous.Drawn + Ended.Drawn;
    // The table may lack tokens that were taken over, or have those of a record
    // that this process doesn't count on.
    if (const auto It = Replaced.find(Workspace); It != Replaced.end()) {
      Sums.Drawn -= It->second;
    }
    Sums.Drawn += Own;
    State.Prefetches = !HasBorrowers || IsHome(Workspace) ||
                       hasHeavyDemand(Now, State, Sums.Rate - Previous.Rate);
    WorkspaceState WithInherited = State;
    WithInherited.Spent += Ended.Drawn;
    WithInherited.InDoubt += Ended.InDoubt;
    // A workspace that was removed from the configuration keeps its tokens.
    const Tokens Budget = Budgets(Workspace).value_or(Sums.Drawn);
    Result.Record.Accounts[Workspace] =
        nextAccount(Now, WithInherited, Sums, Budget, Own,
                    std::min(Vms, HomeCount), Result.Urgent);
  }
  return Result;
}

bool TokenHolder::worthWriting(const Proposal &Next) const {
  return Next.Urgent || !Next.EndedHolders.empty() ||
         std::any_of(Next.Record.Accounts.begin(), Next.Record.Accounts.end(),
                     [&](const auto &Entry) {
                       const auto It = Confirmed.Accounts.find(Entry.first);
                       return It == Confirmed.Accounts.end() ||
                              It->second.Wanted != Entry.second.Wanted;
                     });
}

void TokenHolder::resolvePendingByRestore() {
  // A later record was computed from a table that is at least as new.
  std::map<HolderName, InheritedAccounts> Ended;
  for (const auto &Sent : Pending) {
    for (const auto &[Name, Accounts] : Sent.EndedHolders) {
      Ended[Name] = Accounts;
    }
    internal::add(Confirmed.Replaced, Sent.Record.Replaced);
  }
  for (const auto &[Workspace, State] : States) {
    Confirmed.Accounts[Workspace].Drawn = minDrawn(Workspace);
  }
  Pending.clear();
  for (const auto &[Name, Accounts] : Ended) {
    takeOver(Name, Accounts);
    for (const auto &[Workspace, Amount] : Accounts) {
      // No new use: the table counts it already, in the record of the ended
      // process or in the one that was pending.
      auto &Entry = Confirmed.Accounts[Workspace];
      Entry.Drawn += Amount.Drawn;
      Entry.Spent += Amount.Drawn;
      Entry.InDoubt += Amount.InDoubt;
    }
  }
}

void TokenHolder::markSent(const Proposal &Next) {
  Pending.push_back(Next);
  WriteRequested = false;
}

bool TokenHolder::confirm(std::uint64_t Sequence) {
  const auto It =
      std::find_if(Pending.begin(), Pending.end(), [&](const Proposal &Sent) {
        return Sent.Record.Sequence == Sequence;
      });
  if (It == Pending.end()) {
    return false;
  }
  for (const auto &[Name, Accounts] : It->EndedHolders) {
    takeOver(Name, Accounts);
  }
  Confirmed = std::move(It->Record);
  Pending.clear();
  for (auto &[Workspace, State] : States) {
    if (State.Wanted <= available(Workspace)) {
      State.Wanted = Tokens{};
    }
  }
  return true;
}

} // namespace goldcrestnotch::escrow
