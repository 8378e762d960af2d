/// @file
/// Reserving, settling, and deciding what to take and give back.

#include "goldcrestnotch/escrow/token_holder.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace goldcrestnotch::escrow {

namespace internal {

/// Holding more than this part of the target is worth a record of its own.
static constexpr std::int64_t SurplusPercent = 140;
/// So is holding less than this part.
static constexpr std::int64_t LowPercent = 90;

[[nodiscard]] static Tokens accountDrawn(const HolderRecord &Record,
                                         const WorkspaceId &Name) {
  const auto It = Record.Accounts.find(Name);
  return It == Record.Accounts.end() ? Tokens{} : It->second.Drawn;
}

[[nodiscard]] static double seconds(Millis Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace internal

Tokens TokenHolder::drawn(const WorkspaceId &Name) const {
  Tokens Least = internal::accountDrawn(Confirmed, Name);
  for (const auto &One : OnTheWay) {
    Least = std::min(Least, internal::accountDrawn(One.Record, Name));
  }
  return Least;
}

Tokens TokenHolder::available(const WorkspaceId &Name) const {
  const auto It = Desks.find(Name);
  if (It == Desks.end()) {
    return drawn(Name);
  }
  const auto &At = It->second;
  return drawn(Name) + At.Borrowed - At.Spent - At.Reserved;
}

std::vector<WorkspaceId> TokenHolder::workspaces() const {
  std::vector<WorkspaceId> Result;
  for (const auto &[Name, At] : Desks) {
    Result.push_back(Name);
  }
  return Result;
}

double TokenHolder::rate(const Desk &At, Instant Now) const {
  const double Window = internal::seconds(Size.RateWindow);
  const double Sum = At.Recent * faded(At, Now);
  // A short history holds only this part of what a long one would.
  const double Part =
      1.0 -
      std::exp(-std::max(internal::seconds(Now - At.Begun), 1.0) / Window);
  return Sum / Window / Part;
}

void TokenHolder::note(Desk &At, Instant Now, Tokens Amount) const {
  if (At.Begun == Instant{}) {
    At.Begun = Now;
  }
  const double Part = faded(At, Now);
  At.Recent *= Part;
  At.Lent *= Part;
  At.Recent = std::max(At.Recent + static_cast<double>(Amount.count()), 0.0);
  At.RateTime = Now;
}

double TokenHolder::faded(const Desk &At, Instant Now) const {
  return std::exp(-internal::seconds(Now - At.RateTime) /
                  internal::seconds(Size.RateWindow));
}

Admission TokenHolder::reserve(Instant Now, const HolderTable &Source,
                               const WorkspaceId &Name, Tokens Budget,
                               Tokens Bound) {
  auto &At = Desks[Name];
  if (Bound <= available(Name)) {
    At.Reserved += Bound;
    note(At, Now, Bound);
    return Admission::Admitted;
  }
  return exhausted(Source, Name, Budget, Bound) ? Admission::Exhausted
                                                : Admission::Short;
}

bool TokenHolder::exhausted(const HolderTable &Source, const WorkspaceId &Name,
                            Tokens Budget, Tokens Bound) const {
  const auto It = Desks.find(Name);
  const Desk At = It == Desks.end() ? Desk{} : It->second;
  const auto All = Source.totals(Name);
  const auto Mine = Confirmed.Accounts.find(Name);
  const Tokens Reported = Mine == Confirmed.Accounts.end()
                              ? Tokens{}
                              : Mine->second.Spent - Mine->second.InDoubt;
  const Tokens Unreported = At.Spent - At.InDoubt - Reported;
  return Budget - (All.Spent - All.InDoubt) - Unreported < Bound;
}

void TokenHolder::requestTokens(Instant Now, const WorkspaceId &Name,
                                Tokens Bound) {
  auto &At = Desks[Name];
  At.Wanted = std::max(At.Wanted, Bound);
  At.WantDeadline = Now + Size.WantFor;
  Urgent = true;
}

void TokenHolder::recordUnmetDemand(Instant Now, const WorkspaceId &Name,
                                    Tokens Bound) {
  note(Desks[Name], Now, Bound);
}

bool TokenHolder::ahead(const WorkspaceId &Name) const {
  const auto It = Desks.find(Name);
  return It != Desks.end() && It->second.Ahead;
}

bool TokenHolder::heavy(Instant Now, const Desk &At, Tokens OthersRate) const {
  const double Own = rate(At, Now);
  return Own > 0 && Own * static_cast<double>(Size.Homes) >=
                        Own + static_cast<double>(OthersRate.count());
}

Tokens TokenHolder::amountToBorrow(Instant Now, const WorkspaceId &Name,
                                   Tokens Bound) const {
  const auto It = Desks.find(Name);
  const double Rate = It == Desks.end() ? 0.0 : rate(It->second, Now);
  const auto Span = Joined ? Size.BorrowAhead : Size.BorrowAheadUnjoined;
  const Tokens Ahead{static_cast<std::int64_t>(Rate * internal::seconds(Span))};
  return std::max(Bound - available(Name), Tokens{}) + Ahead;
}

Tokens TokenHolder::lend(Instant Now, const WorkspaceId &Name, Tokens Wanted) {
  auto &At = Desks[Name];
  const Tokens Keep{static_cast<std::int64_t>(
      (Leaving || Concentrated ? 0.0 : rate(At, Now)) *
      internal::seconds(Size.LendKeep))};
  const Tokens Given =
      std::min(Wanted, std::max(available(Name) - Keep, Tokens{}));
  const Tokens Onward = std::min(At.Borrowed, Given);
  At.Borrowed -= Onward;
  At.Spent += Given - Onward;
  At.InDoubt += Given - Onward;
  if (Concentrated) {
    note(At, Now, Given); // A home holds for what others ask of it, too.
    At.Lent += static_cast<double>(Given.count());
  }
  return Given;
}

void TokenHolder::acceptLoan(const WorkspaceId &Name, Tokens Given) {
  Desks[Name].Borrowed += Given;
}

Tokens TokenHolder::takeUnreportedUse(const WorkspaceId &Name) {
  return std::exchange(Desks[Name].Untold, Tokens{});
}

void TokenHolder::restoreUnreportedUse(const WorkspaceId &Name, Tokens Used) {
  Desks[Name].Untold += Used;
}

Tokens TokenHolder::takeSurplus(Instant Now, const WorkspaceId &Name) {
  const Tokens Keep = Leaving ? Tokens{} : amountToBorrow(Now, Name, Tokens{});
  const Tokens Surplus = std::max(available(Name) - Keep, Tokens{});
  auto &At = Desks[Name];
  const Tokens Back = std::min(Surplus, At.Borrowed);
  At.Borrowed -= Back;
  return Back;
}

void TokenHolder::confirmUse(const WorkspaceId &Name, Tokens Used) {
  auto &At = Desks[Name];
  At.InDoubt -= Used;
  At.Lent = std::max(At.Lent - static_cast<double>(Used.count()), 0.0);
}

void TokenHolder::acceptReturn(Instant Now, const WorkspaceId &Name,
                               Tokens Back) {
  auto &At = Desks[Name];
  At.Spent -= Back;
  At.InDoubt -= Back;
  note(At, Now, Tokens{} - Back); // It was no demand.
  At.Lent = std::max(At.Lent - static_cast<double>(Back.count()), 0.0);
}

void TokenHolder::settle(Instant Now, const WorkspaceId &Name, Tokens Bound,
                         Tokens Spent) {
  auto &At = Desks[Name];
  Spent = std::min(Spent, Bound);
  note(At, Now, Spent - Bound);
  At.Reserved -= Bound;
  const Tokens Lent = std::min(At.Borrowed, Spent);
  At.Borrowed -= Lent;
  At.Spent += Spent - Lent;
  // The lender has them in doubt.
  if (Joined) {
    At.InDoubt -= Lent;
  } else {
    At.Untold += Lent;
  }
}

void TokenHolder::inherit(const HolderTable &Source, Proposal &Into) const {
  for (const auto &[Name, Entry] : Source.entries()) {
    if (!Entry.Record || Name.Vm != Self.Vm || Name == Self) {
      continue;
    }
    for (const auto &[Workspace, One] : Entry.Record->Accounts) {
      auto &At = Into.Inherited[Workspace];
      At.Drawn += One.Drawn;
      At.InDoubt += One.Drawn - One.Spent + One.InDoubt;
    }
    Into.Ended.push_back(Name);
  }
}

Tokens TokenHolder::target(Instant Now, const Desk &At, const Totals &All,
                           Tokens Budget, Tokens Own, std::size_t Vms) const {
  if (Leaving) {
    return At.Reserved;
  }
  const auto Count = static_cast<std::int64_t>(std::max<std::size_t>(Vms, 1));
  const Tokens Left = std::max(Budget - All.Spent, Tokens{});
  const Tokens Free = std::max(Budget - All.Drawn, Tokens{});
  const double Rate = rate(At, Now);
  const Tokens Demand{
      static_cast<std::int64_t>(Rate * internal::seconds(Size.Horizon))};
  const Tokens Floor = (Free + Own) / (Size.FloorShare * Count);
  const double AllRate =
      std::max(static_cast<double>(All.Rate.count()), Rate) + 1.0;
  const auto Percent = Many ? Size.MostPercentLending : Size.MostPercent;
  const Tokens Share{static_cast<std::int64_t>(
      static_cast<double>((Left * Percent / 100).count()) *
      std::max(Rate / AllRate, 0.5 / static_cast<double>(Count)))};
  const Tokens Lent{static_cast<std::int64_t>(At.Lent * faded(At, Now))};
  return At.Reserved +
         std::max(std::min(Demand, std::max(Share - Lent, Tokens{})), Floor);
}

Account TokenHolder::next(Instant Now, const Desk &At, const Totals &All,
                          Tokens Budget, Tokens Own, std::size_t Vms,
                          bool &Pressing) const {
  Account Result;
  Result.Spent = At.Spent;
  Result.InDoubt = At.InDoubt;
  Result.Rate = Tokens{At.Ahead ? static_cast<std::int64_t>(rate(At, Now)) : 0};
  Result.Drawn = Own;
  const Tokens Free = Budget - All.Drawn;
  const Tokens Held = Own + At.Borrowed - At.Spent;
  const Tokens Target = At.Ahead
                            ? target(Now, At, All, Budget, Own - At.Spent, Vms)
                            : At.Reserved;
  const Tokens Need = Leaving ? Tokens{} : At.Wanted;
  const Tokens Goal = std::max(Target, At.Reserved + Need);
  if (Held < Goal && Free > Tokens{}) {
    Result.Drawn += std::min(Goal - Held, Free);
    Pressing |= Held < Target * internal::LowPercent / 100 || Need > Tokens{};
  } else if (Held > Goal) {
    // What was borrowed goes back too: it stays spent at the lender, and the
    // lower count here frees as much.
    Result.Drawn -= Held - Goal;
    const bool Much = At.Ahead && Held > Goal * internal::SurplusPercent / 100;
    Pressing |= All.Wanted > Tokens{} || Leaving || Free < Tokens{} || Much;
  }
  const Tokens Gets = Result.Drawn + At.Borrowed - At.Spent - At.Reserved;
  Result.Wanted = Need > Gets ? Need - Gets : Tokens{};
  return Result;
}

Proposal TokenHolder::propose(Instant Now, const HolderTable &Source,
                              const BudgetLookup &Budgets,
                              const std::vector<WorkspaceId> &Names,
                              std::size_t Vms, const HomePredicate &Home) {
  Proposal Result;
  const auto Homes = Size.homeCount(Vms);
  Concentrated = Vms > Homes;
  Many = Vms > Size.MaxSmallFleet;
  Joined = true;
  inherit(Source, Result);
  for (const auto &Name : Names) {
    Desks.try_emplace(Name);
  }
  for (const auto &[Name, Past] : Result.Inherited) {
    Desks.try_emplace(Name);
  }
  Result.Record.Sequence = ++LastSequence;
  for (auto &[Name, At] : Desks) {
    At.Wanted = Now < At.WantDeadline ? At.Wanted : Tokens{};
    const auto Mine = Confirmed.Accounts.find(Name);
    const Account Before =
        Mine == Confirmed.Accounts.end() ? Account{} : Mine->second;
    auto All = Source.totals(Name);
    All.Wanted -= Before.Wanted; // The own want is no reason to give back.
    Legacy Past;
    if (const auto It = Result.Inherited.find(Name);
        It != Result.Inherited.end()) {
      Past = It->second;
    }
    At.Ahead =
        !Concentrated || Home(Name) || heavy(Now, At, All.Rate - Before.Rate);
    Desk With = At;
    With.Spent += Past.Drawn;
    With.InDoubt += Past.InDoubt;
    // A workspace that has left the configuration keeps what it has.
    const Tokens Budget = Budgets(Name).value_or(All.Drawn);
    Result.Record.Accounts[Name] =
        next(Now, With, All, Budget, Before.Drawn + Past.Drawn,
             std::min(Vms, Homes), Result.Pressing);
  }
  return Result;
}

bool TokenHolder::matters(const Proposal &Next) const {
  return Next.Pressing || !Next.Ended.empty() ||
         std::any_of(Next.Record.Accounts.begin(), Next.Record.Accounts.end(),
                     [&](const auto &Pair) {
                       const auto It = Confirmed.Accounts.find(Pair.first);
                       return It == Confirmed.Accounts.end() ||
                              It->second.Wanted != Pair.second.Wanted;
                     });
}

void TokenHolder::sent(const Proposal &What) {
  OnTheWay.push_back(What);
  Urgent = false;
}

bool TokenHolder::confirm(std::uint64_t Sequence) {
  const auto It =
      std::find_if(OnTheWay.begin(), OnTheWay.end(), [&](const Proposal &One) {
        return One.Record.Sequence == Sequence;
      });
  if (It == OnTheWay.end()) {
    return false;
  }
  for (const auto &[Name, Past] : It->Inherited) {
    Desks[Name].Spent += Past.Drawn;
    Desks[Name].InDoubt += Past.InDoubt;
  }
  Confirmed = std::move(It->Record);
  OnTheWay.clear();
  for (auto &[Name, At] : Desks) {
    if (At.Wanted <= available(Name)) {
      At.Wanted = Tokens{};
    }
  }
  return true;
}

} // namespace goldcrestnotch::escrow
