/// @file
/// Tokens that VMs hand each other directly. The lender counts them as spent,
/// so the budget holds whatever becomes of the borrower, and nobody writes to
/// the store: loans go on while it is out.

#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/escrow/admission_gate.hpp"
#include "goldcrestnotch/escrow/lenders.hpp"
#include "goldcrestnotch/escrow/loan_links.hpp"
#include "goldcrestnotch/http/server.hpp"
#include "goldcrestnotch/roster/homes.hpp"
#include "goldcrestnotch/telemetry/metrics.hpp"

namespace goldcrestnotch::escrow {

/// @brief Asks other VMs for tokens and answers those that ask.
class Loans {
public:
  /// Path of the call between VMs.
  static constexpr const char *Path = "/v1/lend";

  Loans(boost::asio::io_context &Loop, Shards &Parts, roster::Homes &Near,
        AdmissionGate &Budgets, Metrics &Measured)
      : Links{Loop}, Parts{Parts}, Near{Near}, Budgets{Budgets},
        Measured{Measured} {}

  /// @brief Says how large budgets are.
  void setBudgetLookup(BudgetLookup Given) { Limits = std::move(Given); }

  /// @brief Asks other VMs until a bound is covered. One coroutine asks for a
  /// workspace at a time; others return at once.
  /// @param Until Nobody is asked after this.
  LoanEnd borrow(boost::asio::yield_context Yield, const WorkspaceId &Name,
                 Tokens Bound, Instant Until);
  /// @brief Tells homes what was used of their tokens, and brings back what is
  /// not needed, for all workspaces.
  void settleLoans(boost::asio::yield_context Yield);
  /// @brief Gives all that is not reserved to the first VM that takes it,
  /// before a shutdown that the store can't be told of.
  /// @param Vms Whom to ask where the homes don't answer.
  void handOver(boost::asio::yield_context Yield,
                const std::vector<std::string> &Vms);
  /// @brief Answers a VM that asks or gives.
  void serve(http::Exchange &Talk);
  /// @brief Closes connections that have been idle too long.
  void expire(Instant Now) { Links.expire(Now); }

private:
  /// @brief All were asked, and so much was missing.
  struct Shortage {
    Tokens Short;
    Instant Deadline{}; ///< Until then nobody is asked for as much.
  };
  /// @brief What a VM answered.
  struct Answer {
    Tokens Given;
    Tokens Left; ///< That it could still lend.
    bool Exhausted = false;
  };

  [[nodiscard]] bool vain(const WorkspaceId &Name, Tokens Short,
                          Instant Now) const;
  [[nodiscard]] std::vector<std::string> candidates(const WorkspaceId &Name,
                                                    Instant Now);
  [[nodiscard]] Answer ask(boost::asio::yield_context Yield,
                           const std::string &Address, const WorkspaceId &Name,
                           Tokens Bound);
  /// @brief Sends tokens back.
  /// @return Whether nobody took them for sure.
  [[nodiscard]] bool refused(boost::asio::yield_context Yield,
                             const std::string &Address,
                             const WorkspaceId &Name, Tokens Back, Tokens Used);
  [[nodiscard]] static Answer read(const std::string &Body);

  LoanLinks Links;
  Shards &Parts;
  roster::Homes &Near;
  AdmissionGate &Budgets;
  Metrics &Measured;
  BudgetLookup Limits;
  Lenders Others;
  std::set<WorkspaceId> Asking;
  std::map<WorkspaceId, Shortage> Vain;
};

} // namespace goldcrestnotch::escrow
