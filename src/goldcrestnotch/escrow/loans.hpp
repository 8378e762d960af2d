/// @file
/// Tokens that VMs hand each other directly. The lender counts them as spent,
/// so the budget holds whatever becomes of the borrower, and nobody writes to
/// the store: loans go on while it is out.

#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/escrow/holder.hpp"
#include "goldcrestnotch/escrow/lenders.hpp"
#include "goldcrestnotch/http/server.hpp"
#include "goldcrestnotch/telemetry/metrics.hpp"

namespace goldcrestnotch::escrow {

/// @brief Asks other VMs for tokens and answers those that ask.
class Loans {
public:
  /// Path of the call between VMs; negative tokens are a gift. The answer is
  /// "given left".
  static constexpr const char *Path = "/v1/lend";

  Loans(const Book &Known, Holder &Held, Metrics &Measured)
      : Known{Known}, Held{Held}, Measured{Measured} {}

  /// @brief Whether this VM is among those that hold tokens of a workspace
  /// ahead: of all in the book, by hash, so all VMs find the same ones.
  [[nodiscard]] bool home(const WorkspaceId &Name) const;

  /// @brief Asks other VMs until a bound is covered. One coroutine asks for a
  /// workspace at a time; others return at once.
  /// @param Until Nobody is asked after this.
  /// @return Whether any gave.
  bool borrow(boost::asio::yield_context Yield, const WorkspaceId &Name,
              Tokens Bound, Instant Until);
  /// @brief Gives all that is not reserved to the first VM that takes it,
  /// before a shutdown that the store can't be told of.
  void giveAway(boost::asio::yield_context Yield,
                const std::vector<std::string> &Vms);
  /// @brief Answers a VM that asks or gives.
  void serve(http::Exchange &Talk);

private:
  /// @brief All were asked, and so much was missing.
  struct Shortage {
    Tokens Short;
    Instant Deadline{}; ///< Until then nobody is asked for as much.
  };

  [[nodiscard]] bool vain(const WorkspaceId &Name, Tokens Short,
                          Instant Now) const;
  Tokens ask(boost::asio::yield_context Yield, const std::string &Address,
             const WorkspaceId &Name, Tokens Bound);

  const Book &Known;
  Holder &Held;
  Metrics &Measured;
  Lenders Others;
  std::set<WorkspaceId> Asking;
  std::map<WorkspaceId, Shortage> Vain;
};

} // namespace goldcrestnotch::escrow
