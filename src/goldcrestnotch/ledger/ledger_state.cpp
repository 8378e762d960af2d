/// @file
/// The rules by which ledger records change a book.

#include "goldcrestnotch/ledger/ledger_state.hpp"

#include <algorithm>

#include "goldcrestnotch/config/limits.hpp"
#include "goldcrestnotch/core/hash.hpp"

namespace goldcrestnotch {

namespace internal {

[[nodiscard]] static Tokens sum(const std::map<HolderId, Tokens> &Parts) {
  Tokens Total;
  for (const auto &[Holder, Amount] : Parts) {
    Total += Amount;
  }
  return Total;
}

static void subtract(std::map<HolderId, Tokens> &Parts, const HolderId &Holder,
                     Tokens Amount) {
  const auto It = Parts.find(Holder);
  It->second -= Amount;
  if (It->second == Tokens{0}) {
    Parts.erase(It);
  }
}

[[nodiscard]] static Tokens held(const std::map<HolderId, Tokens> &Parts,
                                 const HolderId &Holder) {
  const auto It = Parts.find(Holder);
  return It == Parts.end() ? Tokens{} : It->second;
}

/// @brief How much of what is free a draw gets: nothing below its floor.
[[nodiscard]] static Tokens award(Tokens Free, Tokens Want, Tokens Floor) {
  if (Free < Floor || Free <= Tokens{0}) {
    return Tokens{};
  }
  return std::min(std::max(Want, Floor), Free);
}

} // namespace internal

Tokens Pool::remaining() const noexcept {
  return Total - Billed - WrittenOff - internal::sum(Unsettled);
}

Tokens Pool::free() const noexcept {
  return remaining() - internal::sum(Granted);
}

Tokens Pool::granted(const HolderId &Holder) const noexcept {
  return internal::held(Granted, Holder);
}

void LedgerState::skip(std::uint64_t Offset) noexcept {
  Next = std::max(Next, Offset + 1);
}

void LedgerState::apply(std::uint64_t Offset, LogTime When,
                        const Batch &Record) {
  if (Offset < Next) {
    return;
  }
  Next = Offset + 1;
  Time = std::max(Time, When);
  forget();
  const bool Joins = !Record.Items.empty() &&
                     std::holds_alternative<Join>(Record.Items.front());
  if (retired(Record.Holder) ||
      (!Joins && !Sequences.contains(Record.Holder))) {
    ++Counters.Retired;
    return;
  }
  if (Record.Sequence <= sequence(Record.Holder)) {
    ++Counters.Repeated;
    return;
  }
  Sequences[Record.Holder] = Record.Sequence;
  Seen[Record.Holder] = Time;
  for (const auto &One : Record.Items) {
    std::visit([&](const auto &What) { take(Record, What); }, One);
  }
}

void LedgerState::take(const Batch &Record, const Join &) {
  auto &Current = Incarnations[Record.Holder.Vm];
  if (Current != 0 && Current != Record.Holder.Incarnation) {
    retire(HolderId{Record.Holder.Vm, Current});
  }
  Current = Record.Holder.Incarnation;
}

void LedgerState::take(const Batch &, const TopUp &What) {
  if (!Plans.insert(What.Plan).second) {
    return;
  }
  auto &Target = touch(What.Pool);
  if (What.Amount < Tokens{0} && Target.free() + What.Amount < Tokens{0}) {
    ++Counters.Refused;
    return;
  }
  Target.Total += What.Amount;
  serve(Target);
}

void LedgerState::take(const Batch &, const Capacity &What) {
  auto &Target = touch(What.Pool);
  if (What.Version <= Target.Version) {
    return;
  }
  Target.Version = What.Version;
  Target.Total = What.Amount;
  serve(Target);
}

void LedgerState::take(const Batch &Record, const Draw &What) {
  auto It = Pools.find(What.Pool);
  if (It == Pools.end()) {
    ++Counters.Refused;
    return;
  }
  auto &From = touch(What.Pool);
  std::erase_if(From.Short,
                [&](const Shortage &S) { return S.Holder == Record.Holder; });
  From.Short.push_back({Record.Holder, What.Want, What.Floor});
  serve(From);
}

Pool &LedgerState::touch(const PoolId &Name) {
  auto &Found = Pools[Name];
  Found.Changed = Next;
  return Found;
}

void LedgerState::serve(Pool &From) {
  auto Free = From.free();
  std::erase_if(From.Short, [&](const Shortage &S) {
    const auto Given = internal::award(Free, S.Want, S.Floor);
    if (Given > Tokens{0}) {
      From.Granted[S.Holder] += Given;
      Free -= Given;
    }
    return Given > Tokens{0} || S.Floor == Tokens{0};
  });
}

void LedgerState::take(const Batch &Record, const Bill &What) {
  const bool Own = What.Payer.Vm.empty();
  const auto &Payer = Own ? Record.Holder : What.Payer;
  const auto It = Pools.find(What.Pool);
  if (It == Pools.end()) {
    ++Counters.Refused;
    return;
  }
  if (billed(What.Request)) {
    ++Counters.RepeatedBills;
    return;
  }
  auto &From = Own ? It->second.Granted : It->second.Unsettled;
  const auto Paid = std::min(What.Amount, internal::held(From, Payer));
  if (Paid < What.Amount) {
    ++Counters.Refused;
  }
  remember(What);
  if (Paid > Tokens{0}) {
    It->second.Changed = Next;
    internal::subtract(From, Payer, Paid);
    It->second.Billed += Paid;
  }
}

void LedgerState::take(const Batch &Record, const Return &What) {
  const auto It = Pools.find(What.Pool);
  if (It == Pools.end() || It->second.granted(Record.Holder) < What.Amount) {
    ++Counters.Refused;
    return;
  }
  if (What.Amount > Tokens{0}) {
    It->second.Changed = Next;
    internal::subtract(It->second.Granted, Record.Holder, What.Amount);
    serve(It->second);
  }
}

void LedgerState::take(const Batch &Record, const Claim &What) {
  const auto [It, First] =
      Claims.try_emplace(What.Key, ClaimState{Record.Holder, Time, {}});
  if (First) {
    ClaimAges.emplace_back(Time, What.Key);
  }
}

void LedgerState::take(const Batch &Record, const Outcome &What) {
  const auto It = Claims.find(What.Key);
  if (It == Claims.end() || It->second.Holder != Record.Holder) {
    ++Counters.Refused;
    return;
  }
  It->second.End = What;
}

void LedgerState::take(const Batch &Record, const Release &What) {
  const auto It = Claims.find(What.Key);
  if (It == Claims.end() || It->second.Holder != Record.Holder) {
    return;
  }
  std::erase_if(ClaimAges,
                [&](const auto &Age) { return Age.second == What.Key; });
  Claims.erase(It);
}

void LedgerState::take(const Batch &, const Retire &What) {
  const auto It = Incarnations.find(What.Dead.Vm);
  if (It != Incarnations.end() && It->second == What.Dead.Incarnation) {
    retire(What.Dead);
    ++It->second; // A later batch of the dead incarnation stays refused.
  }
}

void LedgerState::take(const Batch &, const Settle &What) {
  Seen.erase(What.Dead);
  for (auto &[Name, Target] : Pools) {
    const auto It = Target.Unsettled.find(What.Dead);
    if (It == Target.Unsettled.end()) {
      continue;
    }
    if (What.WriteOff) {
      Target.WrittenOff += It->second;
    }
    Target.Unsettled.erase(It);
    Target.Changed = Next;
    serve(Target);
  }
}

void LedgerState::retire(const HolderId &Dead) {
  Sequences.erase(Dead);
  bool Holds = false;
  for (auto &[Name, Target] : Pools) {
    Target.Changed = Next;
    std::erase_if(Target.Short,
                  [&](const Shortage &S) { return S.Holder == Dead; });
    const auto It = Target.Granted.find(Dead);
    if (It != Target.Granted.end()) {
      Target.Unsettled[Dead] += It->second;
      Target.Granted.erase(It);
      Holds = true;
    }
  }
  if (!Holds) {
    Seen.erase(Dead);
  }
}

void LedgerState::remember(const Bill &What) {
  const auto Hash = hashOf(What.Request.str());
  BilledHashes.insert(Hash);
  (What.Keyed ? Keyed : Unkeyed).push_back({Time, Hash});
}

void LedgerState::forget() {
  const auto Drop = [&](std::deque<Remembered> &Ages, Millis Memory) {
    while (!Ages.empty() && Ages.front().When + Memory < Time) {
      BilledHashes.erase(Ages.front().Hash);
      Ages.pop_front();
    }
  };
  Drop(Unkeyed, config::BillMemory);
  Drop(Keyed, config::ClaimMemory);
  while (!ClaimAges.empty() &&
         ClaimAges.front().first + config::ClaimMemory < Time) {
    Claims.erase(ClaimAges.front().second);
    ClaimAges.pop_front();
  }
}

const Pool *LedgerState::find(const PoolId &Name) const {
  const auto It = Pools.find(Name);
  return It == Pools.end() ? nullptr : &It->second;
}

const ClaimState *LedgerState::claim(const RequestId &Key) const {
  const auto It = Claims.find(Key);
  return It == Claims.end() ? nullptr : &It->second;
}

std::uint64_t LedgerState::sequence(const HolderId &Holder) const {
  const auto It = Sequences.find(Holder);
  return It == Sequences.end() ? 0 : It->second;
}

LogTime LedgerState::lastBatchTime(const HolderId &Holder) const {
  const auto It = Seen.find(Holder);
  return It == Seen.end() ? LogTime{} : It->second;
}

std::uint64_t LedgerState::incarnation(const VmId &Vm) const {
  const auto It = Incarnations.find(Vm);
  return It == Incarnations.end() ? 0 : It->second;
}

bool LedgerState::retired(const HolderId &Holder) const {
  return incarnation(Holder.Vm) > Holder.Incarnation;
}

bool LedgerState::contains(const PlanId &Plan) const {
  return Plans.contains(Plan);
}

bool LedgerState::billed(const RequestId &Request) const {
  return BilledHashes.contains(hashOf(Request.str()));
}

std::set<HolderId> LedgerState::unsettled() const {
  std::set<HolderId> Result;
  for (const auto &[Name, Target] : Pools) {
    for (const auto &[Holder, Amount] : Target.Unsettled) {
      Result.insert(Holder);
    }
  }
  return Result;
}

std::vector<HolderId> LedgerState::holders() const {
  std::vector<HolderId> Result;
  for (const auto &[Holder, Sequence] : Sequences) {
    Result.push_back(Holder);
  }
  return Result;
}

} // namespace goldcrestnotch
