/// @file
/// Runs the ledger's decision objects on the control thread: one shard a
/// stream, each with its fold, journal, holders and claims.

#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include "goldcrestnotch/kernel/kernel.hpp"
#include "goldcrestnotch/ledger/claim_arbiter.hpp"
#include "goldcrestnotch/ledger/grant_holder.hpp"
#include "goldcrestnotch/ledger/ledger_state.hpp"
#include "goldcrestnotch/ledger/outbox.hpp"
#include "goldcrestnotch/platform/follower.hpp"

namespace goldcrestnotch {

/// @brief The pool of a workspace's budget.
[[nodiscard]] PoolId budgetPool(const WorkspaceId &Name);
/// @brief The pool of a target's slots.
[[nodiscard]] PoolId slotPool(const TargetId &Name);
/// @brief The workspace of a budget's pool, or an empty one.
[[nodiscard]] WorkspaceId workspaceOf(const PoolId &Name);
/// @brief The ledger shard that a pool, or a claim of its workspace, is in.
[[nodiscard]] std::uint32_t shardOf(const PoolId &Name);

/// @brief One ledger stream on this VM.
class LedgerShard {
public:
  using DecisionHandler = std::function<void(Decision)>;
  using ClaimHandler = std::function<void(ClaimDecision)>;

  LedgerShard(Kernel &Host, std::uint32_t Index);

  [[nodiscard]] const LedgerState &state() const noexcept {
    return StateFollower.fold();
  }
  [[nodiscard]] bool ready() const noexcept { return StateFollower.ready(); }
  [[nodiscard]] bool connected() const noexcept {
    return StateFollower.connected();
  }
  [[nodiscard]] bool flushed() const noexcept { return Out.size() == 0; }
  /// @brief Slots of a target that this VM could use at once.
  [[nodiscard]] Tokens availableSlots(const PoolId &Name) const;
  [[nodiscard]] Tokens reservedSlots(const PoolId &Name) const;

  void start();
  void admit(const PoolId &Name, Tokens Bound, DecisionHandler Handler);
  void settle(const PoolId &Name, Tokens Bound, Tokens Spent,
              const RequestId &Request, bool Keyed);
  /// @brief Draws slots of a target ahead of need.
  void prefetchSlots(const PoolId &Slots);
  void reserveSlot(const PoolId &Slots, DecisionHandler Handler);
  void releaseSlot(const PoolId &Slots);
  void claim(const RequestId &Key, ClaimHandler Handler);
  void endClaim(Outcome Result);
  void releaseClaim(const RequestId &Key);
  /// @brief Appends an item for the fleet rather than for a request.
  void emplace(Item Entry);
  /// @brief Gives back unused grants, before a shutdown.
  void returnUnused();
  void snapshot(boost::asio::yield_context Yield);
  /// @brief Called after every change of the fold.
  void onChange(std::function<void()> Hook) {
    ChangeHooks.push_back(std::move(Hook));
  }

private:
  void append(boost::asio::yield_context Yield);
  void sendBatch(boost::asio::yield_context Yield, const Batch &Record);
  void tick(boost::asio::yield_context Yield);
  void poll();
  void deliver(const std::vector<Decision> &Decisions);
  void deliver(const std::vector<ClaimDecision> &Decisions);
  void wakeAppender();

  Kernel &Host;
  LogClient Log;
  Outbox Out;
  GrantHolder<DemandSizing> Budgets;
  GrantHolder<EqualSizing> Slots;
  ClaimArbiter Claims;
  Follower<LedgerState> StateFollower;
  boost::asio::steady_timer WakeTimer;
  std::map<std::uint64_t, DecisionHandler> DecisionHandlers; ///< By ticket.
  std::map<std::uint64_t, ClaimHandler> ClaimHandlers;       ///< By ticket.
  std::vector<std::function<void()>> ChangeHooks;
  std::uint64_t LastTicket = 0;
  std::uint32_t Failures = 0; ///< Appends in a row without an answer.
  bool Superseded = false;
};

/// @brief The plug-in that owns the shards.
///
/// All members but `post` are for the control thread.
class LedgerService final : public Plugin {
public:
  explicit LedgerService(Kernel &Host);

  [[nodiscard]] LedgerShard &shard(const PoolId &Name);
  [[nodiscard]] std::vector<std::unique_ptr<LedgerShard>> &shards() noexcept {
    return Shards;
  }
  [[nodiscard]] bool ready() const;
  [[nodiscard]] bool connected() const;

  void start() override;
  void drain() override;
  [[nodiscard]] bool drained() override;

private:
  void writeSnapshots(boost::asio::yield_context Yield);

  Kernel &Host;
  std::vector<std::unique_ptr<LedgerShard>> Shards;
  bool ReturnedUnused = false;
};

} // namespace goldcrestnotch
