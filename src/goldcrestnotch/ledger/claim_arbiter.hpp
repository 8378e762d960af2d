/// @file
/// A VM's side of claims: a call that may not be repeated runs only where its
/// claim was the first in the log.

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

/// @brief The claim is durable; the call may be sent, once.
struct ClaimGranted {
  std::uint64_t Ticket = 0;
};

/// @brief The call has ended before; this was its outcome.
struct ClaimCompleted {
  std::uint64_t Ticket = 0;
  Outcome End;
};

/// @brief The call was claimed before, and its end is not known.
struct ClaimInDoubt {
  std::uint64_t Ticket = 0;
};

/// @brief No claim could be made in time; the call did not run here.
struct ClaimTimedOut {
  std::uint64_t Ticket = 0;
};

using ClaimDecision =
    std::variant<ClaimGranted, ClaimCompleted, ClaimInDoubt, ClaimTimedOut>;

/// @brief Decides on calls by the order of the log.
class ClaimArbiter {
public:
  ClaimArbiter(Outbox &Out, Millis Timeout) : Out{Out}, Timeout{Timeout} {}

  [[nodiscard]] std::size_t waiting() const noexcept {
    return PendingClaims.size();
  }

  /// @brief Asks for the right to run a call.
  [[nodiscard]] std::vector<ClaimDecision> request(Instant Now,
                                                   const LedgerState &State,
                                                   std::uint64_t Ticket,
                                                   const RequestId &Key);
  /// @brief Takes a book's news in.
  [[nodiscard]] std::vector<ClaimDecision> poll(Instant Now,
                                                const LedgerState &State);

  /// @brief Records how a held call ended.
  void end(Outcome Ended);
  /// @brief Gives a held claim up; no byte has reached a target.
  void release(const RequestId &Key);

private:
  struct PendingClaim {
    RequestId Key;
    Instant Deadline;
    std::uint64_t Sequence = 0; ///< Of its claim's batch; 0 if none was made.
  };

  /// @return True with a decision added if the waiter is done.
  [[nodiscard]] bool decide(Instant Now, const LedgerState &State,
                            std::uint64_t Ticket, PendingClaim &Pending,
                            std::vector<ClaimDecision> &Result);
  [[nodiscard]] bool expire(std::uint64_t Ticket, const PendingClaim &Pending,
                            std::vector<ClaimDecision> &Result);

  Outbox &Out;
  Millis Timeout;
  std::map<std::uint64_t, PendingClaim> PendingClaims; ///< By ticket.
  std::map<RequestId, std::uint64_t>
      ActiveTickets; ///< Tickets that claim or run.
};

} // namespace goldcrestnotch
