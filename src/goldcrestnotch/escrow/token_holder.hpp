/// @file
/// One VM's share of the budgets: admits requests against the tokens that the
/// VM has drawn, draws more before they are needed, and gives back what other
/// VMs need.
///
/// A record is written only if nothing was written since the table was read.
/// The tokens drawn by all VMs therefore never exceed a budget, and a write
/// that takes effect late does nothing.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/escrow/holder_table.hpp"

namespace goldcrestnotch::escrow {

/// @brief Whether a request may be sent.
enum class Admission : std::uint8_t {
  Admitted,  ///< The request's upper bound is reserved.
  Short,     ///< The budget has enough tokens left, but this VM does not.
  Exhausted, ///< The whole budget has fewer tokens left than the bound.
};

/// @brief Settings for how many tokens a holder keeps.
struct Sizing {
  /// Demand of this span is prefetched, to serve requests through an outage of
  /// the store.
  Millis Horizon{8'500};
  /// Time constant of the exponential average of demand.
  Millis RateWindow{4'000};
  /// A holder prefetches at least the free part of the budget divided by this
  /// and by the number of VMs or homes, whichever is smaller.
  std::int64_t FloorDivisor = 16;
  /// A VM that lends keeps its own demand of this span.
  Millis LendReserveSpan{1'000};
  /// A VM with a record borrows its demand of this span.
  Millis BorrowSpan{2'000};
  /// A VM without a record borrows its demand of this span. The span is short
  /// because homes hold tokens for it, and what it holds is lost if it dies.
  Millis BorrowSpanUnjoined{250};
  /// Number of VMs that prefetch tokens of one workspace in a small fleet; the
  /// others borrow from them. With more homes, each would hold less than a
  /// single request may need.
  std::size_t HomesSmallFleet = 8;
  /// Fleets of more VMs have fewer homes, and only the homes read and write
  /// the partition.
  std::size_t MaxSmallFleet = 16;
  std::size_t HomesLargeFleet = 3;

  /// @brief Number of homes of a workspace in a fleet of a size.
  [[nodiscard]] std::size_t homeCount(std::size_t Vms) const noexcept {
    return Vms <= MaxSmallFleet ? HomesSmallFleet : HomesLargeFleet;
  }
  /// How long a request for more tokens stays in the record.
  Millis WantedTimeout{1'000};
  /// In a small fleet, the share of what is left of a budget that all VMs
  /// together prefetch, in hundredths. It is split between them by demand.
  std::int64_t MaxPercent = 30;
  /// In a large fleet, the share that the homes prefetch, in hundredths. It is
  /// smaller because the VMs that borrow from them hold some tokens as well.
  std::int64_t MaxPercentLending = 25;
  /// Once less than this part of a budget is left, in hundredths, the
  /// prefetched share shrinks with its square. Tokens held by processes that
  /// die count as spent, while a request refused in an outage leaves its tokens
  /// for later ones.
  std::int64_t ScarcePercent = 50;
};

/// @brief Tokens left behind by processes of this VM that have ended.
struct InheritedTokens {
  Tokens Drawn;
  Tokens InDoubt; ///< Drawn and not known to be spent.
};

using InheritedAccounts = std::map<WorkspaceId, InheritedTokens>;

/// @brief A record to write under a condition, and the records it replaces.
struct Proposal {
  HolderRecord Record;
  /// Ended processes of this VM, whose records are dropped by the same write,
  /// with those of their tokens that this record is the first to include.
  std::map<HolderName, InheritedAccounts> EndedHolders;

  /// @brief The tokens of all ended processes together.
  [[nodiscard]] InheritedAccounts inherited() const;
  /// The VM holds far too few or too many tokens, or other VMs need them.
  bool Urgent = false;
};

/// Whether this VM is a home of a workspace and so prefetches its tokens.
using HomePredicate = std::function<bool(const WorkspaceId &)>;

/// Looks up the budget of a workspace; nothing if it has no limit.
using BudgetLookup = std::function<std::optional<Tokens>(const WorkspaceId &)>;

/// @brief Admits requests from the tokens that this VM holds. Does no I/O.
class TokenHolder {
public:
  explicit TokenHolder(HolderName Self, Sizing Size = {})
      : Self{std::move(Self)}, Size{Size} {}

  [[nodiscard]] const HolderName &name() const noexcept { return Self; }
  /// @brief Number of tokens that a new request could reserve.
  [[nodiscard]] Tokens available(const WorkspaceId &Workspace) const;
  /// @brief Workspaces that this holder has state for.
  [[nodiscard]] std::vector<WorkspaceId> workspaces() const;
  /// @brief Whether a request waits for tokens that a write could bring.
  [[nodiscard]] bool writeRequested() const noexcept { return WriteRequested; }

  [[nodiscard]] const Sizing &sizing() const noexcept { return Size; }
  /// @brief Whether this VM prefetches tokens of a workspace, as of the last
  /// proposal.
  [[nodiscard]] bool prefetches(const WorkspaceId &Workspace) const;

  /// @brief Reserves the largest number of tokens that a request can spend.
  [[nodiscard]] Admission reserve(Instant Now, const HolderTable &Table,
                                  const WorkspaceId &Workspace, Tokens Budget,
                                  Tokens Bound);
  /// @brief Makes the next record ask for a bound that could not be reserved,
  /// because a request waits for it.
  void requestTokens(Instant Now, const WorkspaceId &Workspace, Tokens Bound);
  /// @brief Counts the bound of a refused request as demand.
  void recordUnmetDemand(Instant Now, const WorkspaceId &Workspace,
                         Tokens Bound);
  /// @brief Amount to ask another VM for to cover a bound and the demand ahead.
  [[nodiscard]] Tokens amountToBorrow(Instant Now, const WorkspaceId &Workspace,
                                      Tokens Bound) const;
  /// @brief Lends tokens to another VM; they count as spent here.
  /// @return The amount lent: at most `Requested`, possibly zero.
  [[nodiscard]] Tokens lend(Instant Now, const WorkspaceId &Workspace,
                            Tokens Requested);
  /// @brief Adds tokens that another VM has lent.
  void acceptLoan(const WorkspaceId &Workspace, Tokens Amount);
  /// @brief Whether less is left of a budget than a bound, as far as the table
  /// and this VM's requests show. Tokens in doubt count as left, since they may
  /// not have been used.
  [[nodiscard]] bool exhausted(const HolderTable &Table,
                               const WorkspaceId &Workspace, Tokens Budget,
                               Tokens Bound) const;

  /// @brief Whether this VM has proposed a record of its own in the partition.
  /// A VM without one reports to its lenders what it used of their tokens.
  [[nodiscard]] bool joined() const noexcept { return Joined; }
  /// @brief Returns the amount of borrowed tokens used and not yet reported,
  /// and resets it to zero.
  [[nodiscard]] Tokens takeUnreportedUse(const WorkspaceId &Workspace);
  /// @brief Restores an amount whose report failed and was not received.
  void restoreUnreportedUse(const WorkspaceId &Workspace, Tokens Used);
  /// @brief Removes and returns the borrowed tokens beyond the demand that
  /// `amountToBorrow` covers.
  [[nodiscard]] Tokens takeSurplus(Instant Now, const WorkspaceId &Workspace);
  /// @brief Records that a borrower has used tokens that were lent to it.
  void confirmUse(const WorkspaceId &Workspace, Tokens Used);
  /// @brief Takes back lent tokens that the borrower has not used.
  void acceptReturn(Instant Now, const WorkspaceId &Workspace, Tokens Returned);

  /// @brief Ends a reservation.
  /// @param Spent Tokens that the request used; more than `Bound` counts as
  /// `Bound`.
  void settle(Instant Now, const WorkspaceId &Workspace, Tokens Bound,
              Tokens Spent);

  /// @brief Computes the record that should be written next.
  /// @param Workspaces Workspaces to hold tokens of.
  /// @param Vms Number of VMs that share the budgets.
  [[nodiscard]] Proposal propose(Instant Now, const HolderTable &Table,
                                 const BudgetLookup &Budgets,
                                 const std::vector<WorkspaceId> &Workspaces,
                                 std::size_t Vms, const HomePredicate &IsHome);
  /// @brief Whether other VMs need to know of a proposal before the next
  /// heartbeat.
  [[nodiscard]] bool worthWriting(const Proposal &Next) const;

  /// @brief Marks a proposal as sent. Until its outcome is known, the lowest
  /// drawn amount of the confirmed and all pending records counts.
  void markSent(const Proposal &Next);
  /// @brief Confirms that the store has the record of a sequence number, which
  /// voids all other pending records.
  /// @return Whether the record was pending.
  bool confirm(std::uint64_t Sequence);
  /// @brief Discards the pending records: none can take effect any more.
  void abandon() noexcept { Pending.clear(); }
  /// @brief Ends the wait for the pending records after the store was restored
  /// from an older copy. Whether they were written is not known any more, so
  /// only the lowest amounts that any of them or the confirmed record drew for
  /// this process are kept. The tokens of ended processes that any of them
  /// included are taken over: if it was written, other VMs have dropped the
  /// records of these processes.
  void resolvePendingByRestore();
  /// @brief Stops drawing tokens and taking over those of ended processes, or
  /// goes on with both.
  void suspendDraws(bool Suspended) noexcept { DrawsSuspended = Suspended; }
  [[nodiscard]] bool drawsSuspended() const noexcept { return DrawsSuspended; }
  /// @brief Makes this holder give back every token that is not reserved.
  void startLeaving() noexcept { Leaving = true; }
  /// @brief Whether records are pending whose outcome is unknown.
  [[nodiscard]] bool hasPending() const noexcept { return !Pending.empty(); }

private:
  struct WorkspaceState {
    Tokens Spent; ///< By this process, or inherited from earlier ones.
    Tokens InDoubt;
    Tokens Reserved;
    Tokens Borrowed;      ///< Not yet spent; the lender counts them as spent.
    Tokens UnreportedUse; ///< Borrowed and spent, not reported to the lender.
    Tokens Wanted;        ///< The largest bound that could not be reserved.
    Instant WantedDeadline{}; ///< When the waiting requests have given up.
    /// Tokens reserved, less those of them that were not spent. Decays over the
    /// rate window.
    double RecentDemand = 0;
    /// Tokens lent and not known to be used. Decays like `RecentDemand`, since
    /// a borrower may have died. Prefetching counts them as held by this VM.
    double RecentlyLent = 0;
    Instant DecayTime{};     ///< Time up to which both amounts have decayed.
    Instant FirstDemand{};   ///< Time of the first demand.
    bool Prefetches = false; ///< Is a home or has heavy demand.
  };

  /// @brief Lowest drawn amount of the confirmed and all pending records.
  [[nodiscard]] Tokens minDrawn(const WorkspaceId &Workspace) const;
  /// @brief Recent demand in tokens a second.
  [[nodiscard]] double rate(const WorkspaceState &State, Instant Now) const;
  /// @brief Lets the averages decay up to now, then adds demand.
  void addDemand(WorkspaceState &State, Instant Now, Tokens Amount) const;
  /// @brief Factor by which the averages have decayed since `DecayTime`.
  [[nodiscard]] double decayFactor(const WorkspaceState &State,
                                   Instant Now) const;
  /// @brief Whether so much of a workspace's demand arrives at this VM that it
  /// prefetches like a home. Callers of a workspace often stay with one VM.
  [[nodiscard]] bool hasHeavyDemand(Instant Now, const WorkspaceState &State,
                                    Tokens OthersRate) const;
  /// @brief Number of tokens that a prefetching VM should hold.
  /// @param Own Drawn tokens of this VM that are not spent.
  [[nodiscard]] Tokens desiredHolding(Instant Now, const WorkspaceState &State,
                                      const Totals &Sums, Tokens Budget,
                                      Tokens Own, std::size_t Vms) const;
  /// @brief Share of what is left of a budget that all VMs together prefetch.
  /// @param Left Tokens of the budget that are not spent.
  [[nodiscard]] double prefetchShare(Tokens Left, Tokens Budget) const;
  /// @brief Account of a workspace for the next record.
  /// @param Own Tokens drawn so far.
  /// @param Urgent Set to true if the record should be written soon.
  [[nodiscard]] Account nextAccount(Instant Now, const WorkspaceState &State,
                                    const Totals &Sums, Tokens Budget,
                                    Tokens Own, std::size_t Vms,
                                    bool &Urgent) const;
  /// @brief Adds the accounts of this VM's ended processes to a proposal.
  void inherit(const HolderTable &Table, const BudgetLookup &Budgets,
               Proposal &Into) const;
  /// @brief The incarnations that the next record replaces: those that were
  /// taken over, and those that their records had replaced.
  [[nodiscard]] std::vector<std::string>
  replacedIncarnations(const HolderTable &Table, const Proposal &Next) const;
  /// @brief Counts the tokens of an ended process as those of this one.
  void takeOver(const HolderName &Ended, const InheritedAccounts &Accounts);
  /// @brief Tokens drawn by the records in a table that a proposal replaces or
  /// drops.
  [[nodiscard]] std::map<WorkspaceId, Tokens>
  replacedDraws(const HolderTable &Table, const Proposal &Next) const;

  HolderName Self;
  Sizing Size;
  std::map<WorkspaceId, WorkspaceState> States;
  HolderRecord Confirmed;
  std::vector<Proposal> Pending; ///< Sent, but the outcome is unknown.
  /// Tokens of ended processes of this VM that this process counts as its own.
  ///
  /// Invariant: from the first record that includes tokens of an ended process
  /// and may have been written, each later record includes them, whether or not
  /// that one was. They are thus counted in exactly one record as soon as the
  /// next one is written.
  std::map<HolderName, InheritedAccounts> TakenOver;
  std::uint64_t LastSequence = 0;
  bool WriteRequested = false;
  bool Leaving = false;
  bool DrawsSuspended = false; ///< The table may lack draws of other VMs.
  bool HasBorrowers = false;   ///< There are more VMs than homes.
  bool LargeFleet = false;     ///< Not all VMs write records.
  bool Joined = false;         ///< A record has been proposed.
};

} // namespace goldcrestnotch::escrow
