/// @file
/// A VM's side of the budgets: admits requests against the tokens that it has
/// taken, takes more before they are needed, and gives back what others need.
///
/// A record is written only if nothing was written since the book was read, so
/// the tokens taken by all VMs never exceed a budget, and a write that takes
/// effect late does nothing.

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
  Admitted,  ///< Its most is reserved.
  Short,     ///< Enough is left of the budget, but not here.
  Exhausted, ///< Less is left of the whole budget.
};

/// @brief How much a holder keeps at hand.
struct Sizing {
  /// Demand that is held ahead: an outage of the store is served from it.
  Millis Horizon{8'500};
  /// Demand is averaged over this.
  Millis RateWindow{4'000};
  /// At least the free part divided by this and by the count of VMs.
  std::int64_t FloorShare = 16;
  /// A VM that lends keeps its own demand of this span.
  Millis LendKeep{1'000};
  /// A VM that borrows asks for its demand of this span.
  Millis BorrowAhead{2'000};
  /// The same for one that writes no records: homes hold for it, and what it
  /// holds besides is lost with it.
  Millis BorrowAheadUnjoined{250};
  /// VMs that hold tokens of one workspace ahead; the others borrow from them.
  /// With more, each would hold less than a single request may take.
  std::size_t Homes = 8;
  /// Fleets of more VMs have fewer homes, and
  /// only these read and write the partition.
  std::size_t MaxSmallFleet = 16;
  std::size_t HomesOfMany = 3;

  /// @brief Homes of a workspace in a fleet.
  [[nodiscard]] std::size_t homeCount(std::size_t Vms) const noexcept {
    return Vms <= MaxSmallFleet ? Homes : HomesOfMany;
  }
  /// A want ends after this.
  Millis WantFor{1'000};
  /// At most this part of what is left, split by demand, in hundredths.
  std::int64_t MostPercent = 30;
  /// The same where others borrow from the homes, and hold some besides.
  std::int64_t MostPercentLending = 25;
};

/// @brief What processes of this VM that have ended leave behind.
struct Legacy {
  Tokens Drawn;
  Tokens InDoubt; ///< Drawn and not known to be spent.
};

/// @brief A record to write under a condition, and what it replaces.
struct Proposal {
  HolderRecord Record;
  std::vector<HolderName> Ended; ///< Their records are dropped with it.
  std::map<WorkspaceId, Legacy> Inherited; ///< From those, in the record.
  bool Pressing = false; ///< Far too little or too much is held.
};

/// Whether this VM holds tokens of a workspace ahead.
using HomePredicate = std::function<bool(const WorkspaceId &)>;

/// Gives the budget of a workspace; nothing if it has no limit.
using BudgetLookup = std::function<std::optional<Tokens>(const WorkspaceId &)>;

/// @brief Decides on requests from what is held; asks nobody. No I/O.
class TokenHolder {
public:
  explicit TokenHolder(HolderName Self, Sizing Size = {})
      : Self{std::move(Self)}, Size{Size} {}

  [[nodiscard]] const HolderName &name() const noexcept { return Self; }
  /// @brief Tokens that a new request could reserve.
  [[nodiscard]] Tokens available(const WorkspaceId &Name) const;
  [[nodiscard]] std::vector<WorkspaceId> workspaces() const;
  /// @brief Whether a request waits for tokens that a write could bring.
  [[nodiscard]] bool writeRequested() const noexcept { return Urgent; }

  [[nodiscard]] const Sizing &sizing() const noexcept { return Size; }
  /// @brief Whether tokens of a workspace are held ahead here, as of the last
  /// proposal.
  [[nodiscard]] bool ahead(const WorkspaceId &Name) const;

  /// @brief Reserves the most that a request can spend.
  [[nodiscard]] Admission reserve(Instant Now, const HolderTable &Source,
                                  const WorkspaceId &Name, Tokens Budget,
                                  Tokens Bound);
  /// @brief A request waits for a bound that fell short: the next record asks
  /// for it.
  void requestTokens(Instant Now, const WorkspaceId &Name, Tokens Bound);
  /// @brief A request was refused for want of tokens; it is demand all the
  /// same.
  void recordUnmetDemand(Instant Now, const WorkspaceId &Name, Tokens Bound);
  /// @brief What to ask another VM for when a bound falls short.
  [[nodiscard]] Tokens amountToBorrow(Instant Now, const WorkspaceId &Name,
                                      Tokens Bound) const;
  /// @brief Gives tokens to another VM; here they count as spent.
  /// @return What is given, at most what is wanted, or zero.
  [[nodiscard]] Tokens lend(Instant Now, const WorkspaceId &Name,
                            Tokens Wanted);
  /// @brief Takes tokens that another VM gave.
  void acceptLoan(const WorkspaceId &Name, Tokens Given);
  /// @brief Whether less is left of a budget than a bound, as far as the book
  /// and the own requests tell; what is in doubt may yet be there.
  [[nodiscard]] bool exhausted(const HolderTable &Source,
                               const WorkspaceId &Name, Tokens Budget,
                               Tokens Bound) const;

  /// @brief Whether this VM has a record of its own in the partition. Without
  /// one it tells lenders what it used of their tokens.
  [[nodiscard]] bool joined() const noexcept { return Joined; }
  /// @brief Takes what was used of borrowed tokens and not yet told.
  [[nodiscard]] Tokens takeUnreportedUse(const WorkspaceId &Name);
  /// @brief Telling it failed, and nobody took it.
  void restoreUnreportedUse(const WorkspaceId &Name, Tokens Used);
  /// @brief Takes what is borrowed beyond the demand of `BorrowAhead`.
  [[nodiscard]] Tokens takeSurplus(Instant Now, const WorkspaceId &Name);
  /// @brief A borrower used tokens that were lent.
  void confirmUse(const WorkspaceId &Name, Tokens Used);
  /// @brief A borrower brings tokens back that were lent and not used.
  void acceptReturn(Instant Now, const WorkspaceId &Name, Tokens Back);

  /// @brief Ends a reservation.
  /// @param Spent At most `Bound`.
  void settle(Instant Now, const WorkspaceId &Name, Tokens Bound, Tokens Spent);

  /// @brief The record that should be written next.
  /// @param Vms Count of VMs that share the budgets.
  /// @param Names Workspaces to hold tokens of.
  [[nodiscard]] Proposal propose(Instant Now, const HolderTable &Source,
                                 const BudgetLookup &Budgets,
                                 const std::vector<WorkspaceId> &Names,
                                 std::size_t Vms, const HomePredicate &Home);
  /// @brief Whether a proposal says anything that others have to know soon.
  [[nodiscard]] bool matters(const Proposal &Next) const;

  /// @brief The record is on its way; until its fate is known, the lower of
  /// both counts holds.
  void sent(const Proposal &What);
  /// @brief The store has the record of this number; all others are void.
  /// @return Whether it was on its way.
  bool confirm(std::uint64_t Sequence);
  /// @brief Nothing that is on its way can take effect any more.
  void abandon() noexcept { OnTheWay.clear(); }
  /// @brief Gives back all that is not reserved from now on.
  void startLeaving() noexcept { Leaving = true; }
  /// @brief Whether records are on their way whose fate is unknown.
  [[nodiscard]] bool unsure() const noexcept { return !OnTheWay.empty(); }

private:
  struct Desk {
    Tokens Spent; ///< By this process, or written off from those before it.
    Tokens InDoubt;
    Tokens Reserved;
    Tokens Borrowed; ///< From other VMs, not yet spent; theirs to account for.
    Tokens Untold;   ///< Borrowed and spent, and the lender does not know.
    Tokens Wanted;   ///< The largest bound that found too little.
    Instant WantDeadline{}; ///< When whoever wanted it has gone.
    /// Tokens reserved, less those of them that were not spent, fading over
    /// the rate window.
    double Recent = 0;
    /// Lent, and not known to be used; fades alike, since a borrower may have
    /// died. It is held ahead as much as what is here.
    double Lent = 0;
    Instant RateTime{}; ///< To which `Recent` has faded.
    Instant Begun{};    ///< Of the first reservation.
    bool Ahead = false; ///< Holds ahead of need; see `heavy`.
  };

  [[nodiscard]] Tokens drawn(const WorkspaceId &Name) const;
  /// @brief Tokens a second, by what was reserved lately.
  [[nodiscard]] double rate(const Desk &At, Instant Now) const;
  void note(Desk &At, Instant Now, Tokens Amount) const;
  /// @brief The part that is left after a while of what fades.
  [[nodiscard]] double faded(const Desk &At, Instant Now) const;
  /// @brief Whether so much of a workspace's demand arrives here that this VM
  /// holds ahead like a home: callers of a workspace often keep to one VM.
  [[nodiscard]] bool heavy(Instant Now, const Desk &At,
                           Tokens OthersRate) const;
  [[nodiscard]] Tokens target(Instant Now, const Desk &At, const Totals &All,
                              Tokens Budget, Tokens Own, std::size_t Vms) const;
  [[nodiscard]] Account next(Instant Now, const Desk &At, const Totals &All,
                             Tokens Budget, Tokens Own, std::size_t Vms,
                             bool &Pressing) const;
  void inherit(const HolderTable &Source, Proposal &Into) const;

  HolderName Self;
  Sizing Size;
  std::map<WorkspaceId, Desk> Desks;
  HolderRecord Confirmed;
  std::vector<Proposal> OnTheWay; ///< Sent, fate unknown.
  std::uint64_t LastSequence = 0;
  bool Urgent = false;
  bool Leaving = false;
  bool Concentrated = false; ///< There are more VMs than homes.
  bool Many = false;         ///< Not all VMs write records.
  bool Joined = false;       ///< A record has been proposed.
};

} // namespace goldcrestnotch::escrow
