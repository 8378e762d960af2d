/// @file
/// Runs the ledger on the control thread, with one shard per ledger stream.
/// Each shard has the state of its stream, an outbox, token holders and claims.

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

/// @brief The pool that contains the budget of a workspace.
[[nodiscard]] PoolId budgetPool(const WorkspaceId &Name);
/// @brief The pool that contains the slots of a target.
[[nodiscard]] PoolId slotPool(const TargetId &Name);
/// @brief The workspace of a budget pool, or an empty id for other pools.
[[nodiscard]] WorkspaceId workspaceOf(const PoolId &Name);
/// @brief The index of the shard that stores a pool and the claims of its
/// workspace.
[[nodiscard]] std::uint32_t shardOf(const PoolId &Name);

/// @brief This VM's connection to one ledger stream. All members are for the
/// control thread.
class LedgerShard {
public:
  using DecisionHandler = std::function<void(Decision)>;
  using ClaimHandler = std::function<void(ClaimDecision)>;

  LedgerShard(Kernel &Host, std::uint32_t Index);

  [[nodiscard]] const LedgerState &state() const noexcept {
    return StateFollower.state();
  }
  [[nodiscard]] bool ready() const noexcept { return StateFollower.ready(); }
  [[nodiscard]] bool connected() const noexcept {
    return StateFollower.connected();
  }
  /// @brief Whether the log contains every item of this VM.
  [[nodiscard]] bool flushed() const noexcept { return Out.size() == 0; }
  /// @brief Granted slots of a target that this VM could reserve at once.
  [[nodiscard]] Tokens availableSlots(const PoolId &Name) const;
  /// @brief Slots of a target that this VM's requests have reserved.
  [[nodiscard]] Tokens reservedSlots(const PoolId &Name) const;

  void start();
  /// @brief Reserves the bound of a request in a budget.
  /// @param Creation Whether to wait for a budget that does not exist yet.
  /// @param Handler Receives the decision once.
  void admit(const PoolId &Name, Tokens Bound, PoolCreation Creation,
             DecisionHandler Handler);
  /// @brief Ends an admitted request and bills what it spent.
  void settle(const PoolId &Name, Tokens Bound, Tokens Spent,
              const RequestId &Request, bool Keyed);
  /// @brief Draws slots of a target before the first request needs one.
  void prefetchSlots(const PoolId &Slots);
  /// @brief Reserves one slot of a target that the configuration contains.
  /// @param Handler Receives the decision once.
  void reserveSlot(const PoolId &Slots, DecisionHandler Handler);
  /// @brief Releases a slot that `reserveSlot` has reserved.
  void releaseSlot(const PoolId &Slots);
  /// @brief Claims the right to run a call once.
  /// @param Handler Receives the decision once.
  void claim(const RequestId &Key, ClaimHandler Handler);
  /// @brief Records the outcome of a claimed call.
  void endClaim(Outcome Result);
  /// @brief Releases a claim because no byte has reached a target.
  void releaseClaim(const RequestId &Key);
  /// @brief Appends an item that belongs to no request, such as a top-up or a
  /// retirement.
  void emplace(Item Entry);
  /// @brief Returns unused grants before a shutdown.
  void returnUnused();
  /// @brief Appends the ledger state to the snapshots of the stream.
  void snapshot(boost::asio::yield_context Yield);
  /// @brief Registers a hook that runs after every change of the ledger state,
  /// and at intervals while requests or items are pending.
  void onChange(std::function<void()> Hook) {
    ChangeHooks.push_back(std::move(Hook));
  }

private:
  /// @brief Appends batches of the outbox as they become due.
  void append(boost::asio::yield_context Yield);
  void sendBatch(boost::asio::yield_context Yield, const Batch &Record);
  /// @brief Polls at intervals while requests or items are pending.
  void tick(boost::asio::yield_context Yield);
  /// @brief Evaluates requests and claims after a change of the ledger state or
  /// the time.
  void poll();
  void deliver(const std::vector<Decision> &Decisions);
  void deliver(const std::vector<ClaimDecision> &Decisions);
  /// @brief Ends the wait of `append` if the outbox has items.
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
  std::uint32_t Failures = 0; ///< Consecutive appends without an answer.
  bool Superseded = false;    ///< A newer incarnation has replaced this one.
};

/// @brief The plug-in that owns the ledger shards.
///
/// All members except `shard` are for the control thread. `shard` only reads a
/// list that is complete after construction.
class LedgerService final : public Plugin {
public:
  explicit LedgerService(Kernel &Host);

  /// @brief The shard that stores a pool and the claims of its workspace.
  [[nodiscard]] LedgerShard &shard(const PoolId &Name);
  [[nodiscard]] std::vector<std::unique_ptr<LedgerShard>> &shards() noexcept {
    return Shards;
  }
  /// @brief Whether every shard has once reached the end of its stream.
  [[nodiscard]] bool ready() const;
  /// @brief Whether the last log call of every shard was answered.
  [[nodiscard]] bool connected() const;

  void start() override;
  void drain() override;
  /// @brief Returns unused grants on the first call.
  /// @return Whether the log contains every item of this VM.
  [[nodiscard]] bool drained() override;

private:
  /// @brief Writes a snapshot of each shard that is assigned to this VM, at the
  /// interval of the settings.
  void writeSnapshots(boost::asio::yield_context Yield);

  Kernel &Host;
  std::vector<std::unique_ptr<LedgerShard>> Shards;
  bool ReturnedUnused = false;
};

} // namespace goldcrestnotch
