/// @file
/// Claims on calls that must not run twice: a call runs only on the VM whose
/// claim is the first in the log.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/ledger/ledger_state.hpp"
#include "goldcrestnotch/ledger/outbox.hpp"

namespace goldcrestnotch {

/// @brief This VM has the claim. The call may be sent once.
struct ClaimGranted {
  std::uint64_t Ticket = 0;
};

/// @brief The call has ended before, with this outcome.
struct ClaimCompleted {
  std::uint64_t Ticket = 0;
  Outcome End;
};

/// @brief The call was claimed before and its outcome is not known.
struct ClaimInDoubt {
  std::uint64_t Ticket = 0;
};

/// @brief No claim was confirmed before the deadline. The call did not run
/// here.
struct ClaimTimedOut {
  std::uint64_t Ticket = 0;
};

using ClaimDecision =
    std::variant<ClaimGranted, ClaimCompleted, ClaimInDoubt, ClaimTimedOut>;

/// @brief Decides which calls this VM may run, by the order of claims in the
/// log.
class ClaimArbiter {
public:
  ClaimArbiter(Outbox &Out, Millis Timeout) : Out{Out}, Timeout{Timeout} {}

  /// @brief Count of requests without a decision.
  [[nodiscard]] std::size_t waiting() const noexcept {
    return PendingClaims.size();
  }

  /// @brief Requests the right to run a call. The decision comes from this call
  /// or a later `poll`.
  /// @param Ticket Identifies the request in its decision.
  [[nodiscard]] std::vector<ClaimDecision> request(Instant Now,
                                                   const LedgerState &State,
                                                   std::uint64_t Ticket,
                                                   const RequestId &Key);
  /// @brief Decides pending requests after a change of the ledger state or the
  /// time.
  [[nodiscard]] std::vector<ClaimDecision> poll(Instant Now,
                                                const LedgerState &State);

  /// @brief Records the outcome of a call whose claim was granted.
  void end(Outcome Result);
  /// @brief Releases a granted claim because no byte has reached a target.
  void release(const RequestId &Key);

private:
  struct PendingClaim {
    RequestId Key;
    Instant Deadline;
    std::uint64_t Sequence = 0; ///< Of the batch with its claim; 0 without one.
  };

  /// @brief Decides one request, or appends its claim if the call is free.
  /// @return True if a decision was added to `Result`.
  [[nodiscard]] bool decide(Instant Now, const LedgerState &State,
                            std::uint64_t Ticket, PendingClaim &Pending,
                            std::vector<ClaimDecision> &Result);
  /// @brief Ends a request at its deadline and releases its own claim, if any.
  [[nodiscard]] bool expire(std::uint64_t Ticket, const PendingClaim &Pending,
                            std::vector<ClaimDecision> &Result);

  Outbox &Out;
  Millis Timeout;
  std::map<std::uint64_t, PendingClaim> PendingClaims; ///< By ticket.
  std::map<RequestId, std::uint64_t>
      ActiveTickets; ///< Tickets that claim or run a call.
};

} // namespace goldcrestnotch
