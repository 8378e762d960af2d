/// @file
/// Decisions on claims.

#include "goldcrestnotch/ledger/claim_arbiter.hpp"

#include <utility>

namespace goldcrestnotch {

std::vector<ClaimDecision> ClaimArbiter::request(Instant Now,
                                                 const LedgerState &Source,
                                                 std::uint64_t Ticket,
                                                 const RequestId &Key) {
  Waiters.emplace(Ticket, Waiter{Key, Now + Wait, 0});
  return poll(Now, Source);
}

std::vector<ClaimDecision> ClaimArbiter::poll(Instant Now,
                                              const LedgerState &Source) {
  std::vector<ClaimDecision> Result;
  for (auto It = Waiters.begin(); It != Waiters.end();) {
    const bool Done = decide(Now, Source, It->first, It->second, Result);
    It = Done ? Waiters.erase(It) : std::next(It);
  }
  return Result;
}

bool ClaimArbiter::decide(Instant Now, const LedgerState &Source,
                          std::uint64_t Ticket, Waiter &One,
                          std::vector<ClaimDecision> &Result) {
  const auto *Found = Source.claim(One.Key);
  if (Found != nullptr && Found->End) {
    Result.emplace_back(ClaimCompleted{Ticket, *Found->End});
    return true;
  }
  const bool Owner = Owners.contains(One.Key) && Owners[One.Key] == Ticket;
  const bool Settled = One.Sequence <= Source.sequence(Out.self());
  const bool Ours = Found != nullptr && Found->Holder == Out.self();
  if (Owner && Settled && Ours) {
    Result.emplace_back(ClaimGranted{Ticket});
    return true;
  }
  if (Owner && Settled && Found != nullptr) {
    Owners.erase(One.Key); // Another VM's claim came first.
  }
  if (Found == nullptr && Settled && (Owner || !Owners.contains(One.Key))) {
    Owners[One.Key] = Ticket;
    One.Sequence = Out.emplace(Claim{One.Key});
  }
  if (Now < One.Deadline) {
    return false;
  }
  return giveUp(Ticket, One, Result);
}

bool ClaimArbiter::giveUp(std::uint64_t Ticket, const Waiter &One,
                          std::vector<ClaimDecision> &Result) {
  const auto It = Owners.find(One.Key);
  if (It != Owners.end() && It->second == Ticket) {
    Owners.erase(It);
    Out.emplace(Release{One.Key});
    Result.emplace_back(ClaimTimedOut{Ticket});
  } else {
    Result.emplace_back(ClaimInDoubt{Ticket});
  }
  return true;
}

void ClaimArbiter::end(Outcome What) {
  Owners.erase(What.Key);
  Out.emplace(std::move(What));
}

void ClaimArbiter::release(const RequestId &Key) {
  Owners.erase(Key);
  Out.emplace(Release{Key});
}

} // namespace goldcrestnotch
