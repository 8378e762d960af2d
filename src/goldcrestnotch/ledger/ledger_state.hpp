/// @file
/// The state that results from applying a ledger stream in order: the tokens
/// granted to each holder, the tokens billed, and the claims on calls. It is a
/// deterministic function of the records.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/ledger/record.hpp"

namespace goldcrestnotch {

/// @brief A draw that waits until its pool has at least `Minimum` free tokens.
struct PendingDraw {
  HolderId Holder;
  Tokens Requested;
  Tokens Minimum;
};

/// @brief A divisible resource, such as a budget or the slots of a target.
///
/// Invariant: the sum of `Billed`, `WrittenOff`, `Granted` and `Unsettled`
/// never exceeds `Total`, except after a `Capacity` record has lowered `Total`,
/// until the holders have returned the difference.
struct Pool {
  Tokens Total;
  std::uint64_t Version = 0; ///< Catalog version of the last `Capacity`.
  Tokens Billed;
  Tokens WrittenOff;
  std::map<HolderId, Tokens> Granted; ///< Live holders; each above zero.
  /// Grants of retired holders whose spend is not yet known. They stay
  /// reserved until a `Settle` record releases or writes them off.
  std::map<HolderId, Tokens> Unsettled;
  std::vector<PendingDraw> PendingDraws; ///< In the order of their records.
  /// The offset that follows the record of the last change. Not serialized.
  std::uint64_t ChangeOffset = 0;

  /// @brief Tokens that are neither spent nor assigned to a holder.
  [[nodiscard]] Tokens free() const noexcept;
  /// @brief Tokens that are neither spent nor unsettled; includes the grants
  /// of live holders.
  [[nodiscard]] Tokens remaining() const noexcept;
  /// @brief Tokens granted to a live holder.
  [[nodiscard]] Tokens granted(const HolderId &Holder) const noexcept;
};

/// @brief A claim on a call.
struct ClaimState {
  HolderId Holder;
  LogTime ClaimedAt;
  std::optional<Outcome> End; ///< Set once the holder has recorded it.
};

/// @brief Counts of batches and items that were not applied as written, by
/// cause.
struct LedgerCounters {
  std::uint64_t Repeated = 0;      ///< Batches that were applied before.
  std::uint64_t Retired = 0;       ///< Batches of retired or unknown holders.
  std::uint64_t RepeatedBills = 0; ///< Bills of requests billed before.
  /// Items that name an unknown pool, exceed a grant or the free tokens, or
  /// end a claim of another holder.
  std::uint64_t Refused = 0;
};

/// @brief The state of one ledger stream after a prefix of its records. Every
/// VM that applies the same records has the same state.
class LedgerState {
public:
  /// @brief Applies the next record.
  /// @param Offset Offset of the record; a record below `next()` is ignored.
  /// @param When Time at which the log stored the record.
  void apply(std::uint64_t Offset, LogTime When, const Batch &Record);

  /// @brief The offset of the next record to apply.
  [[nodiscard]] std::uint64_t next() const noexcept { return Next; }
  /// @brief Skips a record that can't be decoded as a batch.
  void skip(std::uint64_t Offset) noexcept;
  /// @brief The latest log time of the applied records.
  [[nodiscard]] LogTime time() const noexcept { return Time; }
  [[nodiscard]] const std::map<PoolId, Pool> &pools() const noexcept {
    return Pools;
  }
  /// @brief Finds a pool.
  /// @return Null if no `TopUp` or `Capacity` record has created the pool.
  [[nodiscard]] const Pool *find(const PoolId &Name) const;
  /// @brief Finds the claim on a call.
  /// @return Null if the call is not claimed, or the claim was released or has
  /// expired.
  [[nodiscard]] const ClaimState *claim(const RequestId &Key) const;
  /// @brief The sequence number of a holder's last applied batch, or zero.
  [[nodiscard]] std::uint64_t sequence(const HolderId &Holder) const;
  /// @brief The lowest incarnation of a VM that is not retired, or zero for an
  /// unknown VM.
  [[nodiscard]] std::uint64_t incarnation(const VmId &Vm) const;
  /// @brief Whether a newer incarnation or a `Retire` record has ended a
  /// holder. Its batches are ignored from then on.
  [[nodiscard]] bool retired(const HolderId &Holder) const;
  /// @brief The log time of a holder's last applied batch. It is kept for a
  /// retired holder until its grants are settled.
  [[nodiscard]] LogTime lastBatchTime(const HolderId &Holder) const;
  /// @brief Whether the top-up of a confirmed plan has been processed, applied
  /// or refused.
  [[nodiscard]] bool contains(const PlanId &Plan) const;
  /// @brief Whether a request was billed within the retention time of bills.
  [[nodiscard]] bool billed(const RequestId &Request) const;
  /// @brief Retired holders whose grants are not settled.
  [[nodiscard]] std::set<HolderId> unsettled() const;
  /// @brief Count of holders that have joined and are not retired.
  [[nodiscard]] std::size_t holderCount() const noexcept {
    return Sequences.size();
  }
  /// @brief Holders that have joined and are not retired.
  [[nodiscard]] std::vector<HolderId> holders() const;
  [[nodiscard]] const LedgerCounters &counters() const noexcept {
    return Counters;
  }

  /// @brief Serializes the state, without the counters and change offsets. The
  /// text depends only on the records applied.
  [[nodiscard]] std::string save() const;
  /// @brief Restores a state that `save` has serialized.
  /// @throws std::invalid_argument if the text is not a serialized state.
  [[nodiscard]] static LedgerState load(std::string_view Text);

private:
  friend struct LedgerStateCodec;

  /// @brief A request that has been billed, kept to detect a repeated bill.
  struct BilledRequest {
    LogTime When;
    std::uint64_t Hash = 0;
  };

  void applyItem(const Batch &Record, const Join &Entry);
  void applyItem(const Batch &Record, const TopUp &Entry);
  void applyItem(const Batch &Record, const Capacity &Entry);
  void applyItem(const Batch &Record, const Draw &Entry);
  void applyItem(const Batch &Record, const Bill &Entry);
  void applyItem(const Batch &Record, const Return &Entry);
  void applyItem(const Batch &Record, const Claim &Entry);
  void applyItem(const Batch &Record, const Outcome &Entry);
  void applyItem(const Batch &Record, const Release &Entry);
  void applyItem(const Batch &Record, const Retire &Entry);
  void applyItem(const Batch &Record, const Settle &Entry);

  /// @brief Finds or creates a pool and marks it as changed.
  [[nodiscard]] Pool &touch(const PoolId &Name);
  /// @brief Moves a holder's grants to `Unsettled` and drops its draws.
  void retire(const HolderId &Dead);
  /// @brief Grants pending draws in order, as far as free tokens allow.
  void grantPending(Pool &Balance);
  void rememberBill(const Bill &Entry);
  /// @brief Drops bills and claims whose retention time has passed.
  void expire();

  std::uint64_t Next = 0; ///< Offset of the next record.
  LogTime Time{};
  std::map<PoolId, Pool> Pools;
  std::map<RequestId, ClaimState> Claims;
  std::deque<std::pair<LogTime, RequestId>> ClaimsByAge; ///< Oldest first.
  std::map<VmId, std::uint64_t> Incarnations;  ///< Lowest that is not retired.
  std::map<HolderId, std::uint64_t> Sequences; ///< Live holders only.
  /// Live holders, and retired ones with unsettled grants.
  std::map<HolderId, LogTime> LastBatchTimes;
  std::set<PlanId> AppliedPlans;
  /// Hashes of the requests in `UnkeyedBills` and `KeyedBills`.
  std::unordered_set<std::uint64_t> BilledHashes;
  std::deque<BilledRequest> UnkeyedBills; ///< Oldest first.
  /// Oldest first. Keyed requests may be retried elsewhere and are kept longer.
  std::deque<BilledRequest> KeyedBills;
  LedgerCounters Counters;
};

} // namespace goldcrestnotch
