/// @file
/// The fold of a ledger stream: who holds which part of each pool, what has
/// been billed, and which calls are claimed. A pure function of the records.

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

/// @brief A holder whose draw found too little free.
struct PendingDraw {
  HolderId Holder;
  Tokens Requested;
  Tokens Minimum;
};

/// @brief One divisible right.
///
/// Invariant: `Billed + WrittenOff` and all of `Granted` and `Unsettled`
/// together never exceed `Total`, but where a `Capacity` record has lowered
/// `Total` and holders have yet to give back.
struct Pool {
  Tokens Total;
  std::uint64_t Version = 0; ///< Of the last `Capacity` record.
  Tokens Billed;
  Tokens WrittenOff;
  std::map<HolderId, Tokens> Granted; ///< Each above zero.
  std::map<HolderId, Tokens>
      Unsettled; ///< Grants of dead holders, not settled.
  std::vector<PendingDraw> PendingDraws; ///< First come, first served.
  std::uint64_t ChangeOffset = 0; ///< Offset behind the last change; not saved.

  /// @brief What no holder has.
  [[nodiscard]] Tokens free() const noexcept;
  /// @brief What is neither spent nor in doubt.
  [[nodiscard]] Tokens remaining() const noexcept;
  [[nodiscard]] Tokens granted(const HolderId &Holder) const noexcept;
};

/// @brief The state of a claimed call.
struct ClaimState {
  HolderId Holder;
  LogTime ClaimedAt;
  std::optional<Outcome> End;
};

/// @brief Counts of records that changed nothing, by cause.
struct LedgerCounters {
  std::uint64_t Repeated = 0;      ///< Batches already applied.
  std::uint64_t Retired = 0;       ///< Batches of dead holders.
  std::uint64_t RepeatedBills = 0; ///< Requests billed before.
  std::uint64_t Refused = 0;       ///< Items that would break an invariant.
};

/// @brief The state of one ledger stream after a prefix of its records.
class LedgerState {
public:
  /// @brief Applies the next record.
  /// @param Offset Its offset; offsets already applied are passed over.
  /// @param When Its log time.
  void apply(std::uint64_t Offset, LogTime When, const Batch &Record);

  /// @brief The first offset not applied.
  [[nodiscard]] std::uint64_t next() const noexcept { return Next; }
  /// @brief Passes over a record that is no batch.
  void skip(std::uint64_t Offset) noexcept;
  [[nodiscard]] LogTime time() const noexcept { return Time; }
  [[nodiscard]] const std::map<PoolId, Pool> &pools() const noexcept {
    return Pools;
  }
  /// @brief The pool, or nothing if no record names it.
  [[nodiscard]] const Pool *find(const PoolId &Name) const;
  [[nodiscard]] const ClaimState *claim(const RequestId &Key) const;
  /// @brief The last sequence number applied of a holder.
  [[nodiscard]] std::uint64_t sequence(const HolderId &Holder) const;
  /// @brief The live incarnation of a VM, or zero.
  [[nodiscard]] std::uint64_t incarnation(const VmId &Vm) const;
  [[nodiscard]] bool retired(const HolderId &Holder) const;
  /// @brief When a holder's last batch was kept; also of a dead one until it is
  /// settled.
  [[nodiscard]] LogTime lastBatchTime(const HolderId &Holder) const;
  /// @brief Whether a confirmed plan's top-up has been applied.
  [[nodiscard]] bool contains(const PlanId &Plan) const;
  /// @brief Whether a request's bill is remembered.
  [[nodiscard]] bool billed(const RequestId &Request) const;
  /// @brief Dead holders with grants that are not settled.
  [[nodiscard]] std::set<HolderId> unsettled() const;
  /// @brief Count of holders that are not retired.
  [[nodiscard]] std::size_t holderCount() const noexcept {
    return Sequences.size();
  }
  /// @brief Holders that are not retired.
  [[nodiscard]] std::vector<HolderId> holders() const;
  [[nodiscard]] const LedgerCounters &counters() const noexcept {
    return Counters;
  }

  /// @brief The whole state as text, a function of the records applied.
  [[nodiscard]] std::string save() const;
  /// @brief Restores what `save` gave.
  /// @throws std::invalid_argument if the text is no saved book.
  [[nodiscard]] static LedgerState load(std::string_view Text);

private:
  friend struct LedgerStateCodec;

  /// @brief A remembered bill; `Keyed` ones stay longer.
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

  [[nodiscard]] Pool &touch(const PoolId &Name);
  void retire(const HolderId &Dead);
  void grantPending(Pool &Balance);
  void rememberBill(const Bill &Entry);
  void expire();

  std::uint64_t Next = 0;
  LogTime Time{};
  std::map<PoolId, Pool> Pools;
  std::map<RequestId, ClaimState> Claims;
  std::deque<std::pair<LogTime, RequestId>> ClaimsByAge; ///< Oldest first.
  std::map<VmId, std::uint64_t> Incarnations;
  std::map<HolderId, std::uint64_t> Sequences; ///< Live holders only.
  std::map<HolderId, LogTime>
      LastBatchTimes; ///< Live holders and unsettled ones.
  std::set<PlanId> AppliedPlans;
  std::unordered_set<std::uint64_t> BilledHashes;
  std::deque<BilledRequest> UnkeyedBills; ///< Oldest first.
  std::deque<BilledRequest> KeyedBills;   ///< Oldest first.
  LedgerCounters Counters;
};

} // namespace goldcrestnotch
