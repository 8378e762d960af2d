/// @file
/// Loans of tokens between VMs. The lender counts lent tokens as spent, so the
/// budget holds whatever happens to the borrower. Nothing is written to the
/// store, so loans work during an outage of the store.

#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/escrow/admission_gate.hpp"
#include "goldcrestnotch/escrow/lenders.hpp"
#include "goldcrestnotch/escrow/loan_connections.hpp"
#include "goldcrestnotch/http/server.hpp"
#include "goldcrestnotch/roster/homes.hpp"
#include "goldcrestnotch/telemetry/metrics.hpp"

namespace goldcrestnotch::escrow {

/// @brief Borrows tokens from other VMs and serves their loan requests.
class Loans {
public:
  /// Path of a loan request.
  static constexpr const char *Path = "/v1/lend";

  Loans(boost::asio::io_context &Loop, Shards &Partitions,
        roster::Homes<WorkspaceId> &WorkspaceHomes, AdmissionGate &Gate,
        Metrics &Counters)
      : Connections{Loop}, Partitions{Partitions},
        WorkspaceHomes{WorkspaceHomes}, Gate{Gate}, Counters{Counters} {}

  /// @brief Sets how to look up the budget of a workspace.
  void setBudgetLookup(BudgetLookup Lookup) { Budgets = std::move(Lookup); }

  /// @brief Asks other VMs one after the other until a bound is covered. Only
  /// one coroutine at a time borrows for a workspace; others return at once.
  /// @param Deadline No further VM is asked after this.
  LoanResult borrow(boost::asio::yield_context Yield,
                    const WorkspaceId &Workspace, Tokens Bound,
                    Instant Deadline);
  /// @brief Reports to the homes of all workspaces what was used of their
  /// tokens, and returns the borrowed tokens that are not needed.
  void settleLoans(boost::asio::yield_context Yield);
  /// @brief Gives all tokens that are not reserved to the first VM that accepts
  /// them. Called before a shutdown while the store is unreachable.
  /// @param Vms Control addresses of the VMs to ask if no home accepts them.
  void handOver(boost::asio::yield_context Yield,
                const std::vector<std::string> &Vms);
  /// @brief Serves a request of a VM that borrows or returns tokens.
  void serve(http::Exchange &Exchange);
  /// @brief Closes connections that have been idle for too long.
  void expire(Instant Now) { Connections.expire(Now); }

private:
  /// @brief The amount that was missing after all candidates had been asked.
  struct Shortage {
    Tokens Missing;
    Instant Deadline{}; ///< Until then nobody is asked for as much.
  };
  /// @brief A lender's reply.
  struct LoanReply {
    Tokens Given;
    Tokens Available; ///< Amount that the lender could still lend.
    bool Exhausted = false;
  };

  /// @brief Whether a recent attempt to borrow this much failed.
  [[nodiscard]] bool recentlyFailed(const WorkspaceId &Workspace,
                                    Tokens Missing, Instant Now) const;
  /// @brief Control addresses of VMs to ask, in order.
  [[nodiscard]] std::vector<std::string>
  candidates(const WorkspaceId &Workspace, Instant Now);
  /// @brief Asks one VM for tokens and adds what it gives.
  [[nodiscard]] LoanReply ask(boost::asio::yield_context Yield,
                              const std::string &Address,
                              const WorkspaceId &Workspace, Tokens Bound);
  /// @brief Returns tokens to a VM and reports the use of others.
  /// @return Whether it is certain that the VM did not accept them.
  [[nodiscard]] bool refused(boost::asio::yield_context Yield,
                             const std::string &Address,
                             const WorkspaceId &Workspace, Tokens Returned,
                             Tokens Used);
  /// @param Asked Amount that was asked for: a lender gives no more.
  /// @return Nothing if the body is no reply.
  [[nodiscard]] static std::optional<LoanReply>
  parseReply(const std::string &Body, Tokens Asked);

  LoanConnections Connections;
  Shards &Partitions;
  roster::Homes<WorkspaceId> &WorkspaceHomes;
  AdmissionGate &Gate;
  Metrics &Counters;
  BudgetLookup Budgets;
  Lenders KnownLenders;
  std::set<WorkspaceId> BorrowsInProgress;
  std::map<WorkspaceId, Shortage> Shortages;
};

} // namespace goldcrestnotch::escrow
