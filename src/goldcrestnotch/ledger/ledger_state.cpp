/// @file
/// How each kind of ledger record changes the state.

#include "goldcrestnotch/ledger/ledger_state.hpp"

#include <algorithm>

#include "goldcrestnotch/config/limits.hpp"
#include "goldcrestnotch/core/hash.hpp"

namespace goldcrestnotch {

namespace internal {

[[nodiscard]] static Tokens sum(const std::map<HolderId, Tokens> &Amounts) {
  Tokens Total;
  for (const auto &[Holder, Amount] : Amounts) {
    Total += Amount;
  }
  return Total;
}

static void subtract(std::map<HolderId, Tokens> &Amounts,
                     const HolderId &Holder, Tokens Amount) {
  const auto It = Amounts.find(Holder);
  It->second -= Amount;
  if (It->second == Tokens{0}) {
    Amounts.erase(It);
  }
}

[[nodiscard]] static Tokens amountOf(const std::map<HolderId, Tokens> &Amounts,
                                     const HolderId &Holder) {
  const auto It = Amounts.find(Holder);
  return It == Amounts.end() ? Tokens{} : It->second;
}

/// @brief The size of the grant for a draw: between `Minimum` and `Requested`
/// if `Free` allows, otherwise zero.
[[nodiscard]] static Tokens grantSize(Tokens Free, Tokens Requested,
                                      Tokens Minimum) {
  if (Free < Minimum || Free <= Tokens{0}) {
    return Tokens{};
  }
  return std::min(std::max(Requested, Minimum), Free);
}

} // namespace internal

Tokens Pool::remaining() const noexcept {
  return Total - Billed - WrittenOff - internal::sum(Unsettled);
}

Tokens Pool::free() const noexcept {
  return remaining() - internal::sum(Granted);
}

Tokens Pool::granted(const HolderId &Holder) const noexcept {
  return internal::amountOf(Granted, Holder);
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
  expire();
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
  LastBatchTimes[Record.Holder] = Time;
  for (const auto &Element : Record.Items) {
    std::visit([&](const auto &Entry) { applyItem(Record, Entry); }, Element);
  }
}

void LedgerState::applyItem(const Batch &Record, const Join &) {
  auto &Current = Incarnations[Record.Holder.Vm];
  if (Current != 0 && Current != Record.Holder.Incarnation) {
    retire(HolderId{Record.Holder.Vm, Current});
  }
  Current = Record.Holder.Incarnation;
}

void LedgerState::applyItem(const Batch &, const TopUp &Entry) {
  if (!AppliedPlans.insert(Entry.Plan).second) {
    return;
  }
  auto &Balance = touch(Entry.Pool);
  if (Entry.Amount < Tokens{0} && Balance.free() + Entry.Amount < Tokens{0}) {
    ++Counters.Refused;
    return;
  }
  Balance.Total += Entry.Amount;
  grantPending(Balance);
}

void LedgerState::applyItem(const Batch &, const Capacity &Entry) {
  auto &Balance = touch(Entry.Pool);
  if (Entry.Version <= Balance.Version) {
    return;
  }
  Balance.Version = Entry.Version;
  Balance.Total = Entry.Amount;
  grantPending(Balance);
}

void LedgerState::applyItem(const Batch &Record, const Draw &Entry) {
  auto It = Pools.find(Entry.Pool);
  if (It == Pools.end()) {
    ++Counters.Refused;
    return;
  }
  auto &Balance = touch(Entry.Pool);
  std::erase_if(Balance.PendingDraws, [&](const PendingDraw &Pending) {
    return Pending.Holder == Record.Holder;
  });
  Balance.PendingDraws.push_back(
      {Record.Holder, Entry.Requested, Entry.Minimum});
  grantPending(Balance);
}

Pool &LedgerState::touch(const PoolId &Name) {
  auto &Balance = Pools[Name];
  Balance.ChangeOffset = Next;
  return Balance;
}

void LedgerState::grantPending(Pool &Balance) {
  auto Free = Balance.free();
  std::erase_if(Balance.PendingDraws, [&](const PendingDraw &Pending) {
    const auto Granted =
        internal::grantSize(Free, Pending.Requested, Pending.Minimum);
    if (Granted > Tokens{0}) {
      Balance.Granted[Pending.Holder] += Granted;
      Free -= Granted;
    }
    return Granted > Tokens{0} || Pending.Minimum == Tokens{0};
  });
}

void LedgerState::applyItem(const Batch &Record, const Bill &Entry) {
  const bool OwnBill = Entry.Payer.Vm.empty();
  const auto &Payer = OwnBill ? Record.Holder : Entry.Payer;
  const auto It = Pools.find(Entry.Pool);
  if (It == Pools.end()) {
    ++Counters.Refused;
    return;
  }
  if (billed(Entry.Request)) {
    ++Counters.RepeatedBills;
    return;
  }
  auto &Grants = OwnBill ? It->second.Granted : It->second.Unsettled;
  const auto Charged =
      std::min(Entry.Amount, internal::amountOf(Grants, Payer));
  if (Charged < Entry.Amount) {
    ++Counters.Refused;
  }
  rememberBill(Entry);
  if (Charged > Tokens{0}) {
    It->second.ChangeOffset = Next;
    internal::subtract(Grants, Payer, Charged);
    It->second.Billed += Charged;
  }
}

void LedgerState::applyItem(const Batch &Record, const Return &Entry) {
  const auto It = Pools.find(Entry.Pool);
  if (It == Pools.end() || It->second.granted(Record.Holder) < Entry.Amount) {
    ++Counters.Refused;
    return;
  }
  if (Entry.Amount > Tokens{0}) {
    It->second.ChangeOffset = Next;
    internal::subtract(It->second.Granted, Record.Holder, Entry.Amount);
    grantPending(It->second);
  }
}

void LedgerState::applyItem(const Batch &Record, const Claim &Entry) {
  const auto [It, Inserted] =
      Claims.try_emplace(Entry.Key, ClaimState{Record.Holder, Time, {}});
  if (Inserted) {
    ClaimsByAge.emplace_back(Time, Entry.Key);
  }
}

void LedgerState::applyItem(const Batch &Record, const Outcome &Entry) {
  const auto It = Claims.find(Entry.Key);
  if (It == Claims.end() || It->second.Holder != Record.Holder) {
    ++Counters.Refused;
    return;
  }
  It->second.End = Entry;
}

void LedgerState::applyItem(const Batch &Record, const Release &Entry) {
  const auto It = Claims.find(Entry.Key);
  if (It == Claims.end() || It->second.Holder != Record.Holder) {
    return;
  }
  std::erase_if(ClaimsByAge, [&](const auto &Recorded) {
    return Recorded.second == Entry.Key;
  });
  Claims.erase(It);
}

void LedgerState::applyItem(const Batch &, const Retire &Entry) {
  const auto It = Incarnations.find(Entry.Dead.Vm);
  if (It != Incarnations.end() && It->second == Entry.Dead.Incarnation) {
    retire(Entry.Dead);
    ++It->second; // Later batches of the retired incarnation are ignored.
  }
}

void LedgerState::applyItem(const Batch &, const Settle &Entry) {
  LastBatchTimes.erase(Entry.Dead);
  for (auto &[Name, Balance] : Pools) {
    const auto It = Balance.Unsettled.find(Entry.Dead);
    if (It == Balance.Unsettled.end()) {
      continue;
    }
    if (Entry.WriteOff) {
      Balance.WrittenOff += It->second;
    }
    Balance.Unsettled.erase(It);
    Balance.ChangeOffset = Next;
    grantPending(Balance);
  }
}

void LedgerState::retire(const HolderId &Dead) {
  Sequences.erase(Dead);
  bool HadGrants = false;
  for (auto &[Name, Balance] : Pools) {
    Balance.ChangeOffset = Next;
    std::erase_if(Balance.PendingDraws, [&](const PendingDraw &Pending) {
      return Pending.Holder == Dead;
    });
    const auto It = Balance.Granted.find(Dead);
    if (It != Balance.Granted.end()) {
      Balance.Unsettled[Dead] += It->second;
      Balance.Granted.erase(It);
      HadGrants = true;
    }
  }
  if (!HadGrants) {
    LastBatchTimes.erase(Dead);
  }
}

void LedgerState::rememberBill(const Bill &Entry) {
  const auto Hash = hashOf(Entry.Request.str());
  BilledHashes.insert(Hash);
  (Entry.Keyed ? KeyedBills : UnkeyedBills).push_back({Time, Hash});
}

void LedgerState::expire() {
  const auto DropExpired = [&](std::deque<BilledRequest> &Bills,
                               Millis Retention) {
    while (!Bills.empty() && Bills.front().When + Retention < Time) {
      BilledHashes.erase(Bills.front().Hash);
      Bills.pop_front();
    }
  };
  DropExpired(UnkeyedBills, config::BillMemory);
  DropExpired(KeyedBills, config::ClaimMemory);
  while (!ClaimsByAge.empty() &&
         ClaimsByAge.front().first + config::ClaimMemory < Time) {
    Claims.erase(ClaimsByAge.front().second);
    ClaimsByAge.pop_front();
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
  const auto It = LastBatchTimes.find(Holder);
  return It == LastBatchTimes.end() ? LogTime{} : It->second;
}

std::uint64_t LedgerState::incarnation(const VmId &Vm) const {
  const auto It = Incarnations.find(Vm);
  return It == Incarnations.end() ? 0 : It->second;
}

bool LedgerState::retired(const HolderId &Holder) const {
  return incarnation(Holder.Vm) > Holder.Incarnation;
}

bool LedgerState::contains(const PlanId &Plan) const {
  return AppliedPlans.contains(Plan);
}

bool LedgerState::billed(const RequestId &Request) const {
  return BilledHashes.contains(hashOf(Request.str()));
}

std::set<HolderId> LedgerState::unsettled() const {
  std::set<HolderId> Result;
  for (const auto &[Name, Balance] : Pools) {
    for (const auto &[Holder, Amount] : Balance.Unsettled) {
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
