/// @file
/// Decides requests for claims from the ledger state.

#include "goldcrestnotch/ledger/claim_arbiter.hpp"

#include <utility>

namespace goldcrestnotch {

std::vector<ClaimDecision> ClaimArbiter::request(Instant Now,
                                                 const LedgerState &State,
                                                 std::uint64_t Ticket,
                                                 const RequestId &Key) {
  PendingClaims.emplace(Ticket, PendingClaim{Key, Now + Timeout, 0});
  return poll(Now, State);
}

std::vector<ClaimDecision> ClaimArbiter::poll(Instant Now,
                                              const LedgerState &State) {
  std::vector<ClaimDecision> Result;
  for (auto It = PendingClaims.begin(); It != PendingClaims.end();) {
    const bool Done = decide(Now, State, It->first, It->second, Result);
    It = Done ? PendingClaims.erase(It) : std::next(It);
  }
  return Result;
}

bool ClaimArbiter::decide(Instant Now, const LedgerState &State,
                          std::uint64_t Ticket, PendingClaim &Pending,
                          std::vector<ClaimDecision> &Result) {
  const auto *Existing = State.claim(Pending.Key);
  if (Existing != nullptr && Existing->End) {
    Result.emplace_back(ClaimCompleted{Ticket, *Existing->End});
    return true;
  }
  const bool OwnsKey = ActiveTickets.contains(Pending.Key) &&
                       ActiveTickets[Pending.Key] == Ticket;
  const bool BatchApplied = Pending.Sequence <= State.sequence(Out.self());
  const bool ClaimedHere =
      Existing != nullptr && Existing->Holder == Out.self();
  if (OwnsKey && BatchApplied && ClaimedHere) {
    Result.emplace_back(ClaimGranted{Ticket});
    return true;
  }
  if (OwnsKey && BatchApplied && Existing != nullptr) {
    ActiveTickets.erase(Pending.Key); // The claim of another VM came first.
  }
  if (Existing == nullptr && BatchApplied &&
      (OwnsKey || !ActiveTickets.contains(Pending.Key))) {
    ActiveTickets[Pending.Key] = Ticket;
    Pending.Sequence = Out.emplace(Claim{Pending.Key});
  }
  if (Now < Pending.Deadline) {
    return false;
  }
  return expire(Ticket, Pending, Result);
}

bool ClaimArbiter::expire(std::uint64_t Ticket, const PendingClaim &Pending,
                          std::vector<ClaimDecision> &Result) {
  const auto It = ActiveTickets.find(Pending.Key);
  if (It != ActiveTickets.end() && It->second == Ticket) {
    ActiveTickets.erase(It);
    Out.emplace(Release{Pending.Key});
    Result.emplace_back(ClaimTimedOut{Ticket});
  } else {
    Result.emplace_back(ClaimInDoubt{Ticket});
  }
  return true;
}

void ClaimArbiter::end(Outcome Result) {
  ActiveTickets.erase(Result.Key);
  Out.emplace(std::move(Result));
}

void ClaimArbiter::release(const RequestId &Key) {
  ActiveTickets.erase(Key);
  Out.emplace(Release{Key});
}

} // namespace goldcrestnotch
