/// @file
/// Plug-in that follows the `config` stream, publishes the catalog to the
/// traffic threads, and appends accepted top-ups and target capacities to the
/// ledger.

#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/catalog/catalog.hpp"
#include "goldcrestnotch/kernel/kernel.hpp"
#include "goldcrestnotch/platform/follower.hpp"

namespace goldcrestnotch {

/// @brief Owns the catalog and keeps it at the end of the `config` stream.
class CatalogService final : public Plugin {
public:
  explicit CatalogService(Kernel &Host);

  /// @brief The latest published catalog, for traffic threads; never null.
  [[nodiscard]] std::shared_ptr<const Catalog> snapshot() const noexcept {
    return std::atomic_load(&Published);
  }
  /// @brief Whether the catalog was loaded. No requests are served before.
  [[nodiscard]] bool ready() const noexcept { return Ready; }
  /// @brief Whether the last call to the log was answered.
  [[nodiscard]] bool connected() const noexcept {
    return ConfigFollower.connected();
  }
  /// @brief The current catalog.
  /// @warning For the control thread only.
  [[nodiscard]] const Catalog &catalog() const noexcept {
    return ConfigFollower.state();
  }

  /// @brief Calls `Done` with true once a condition holds, or with false when
  /// the deadline passes.
  /// @warning For the control thread only.
  void wait(std::function<bool()> Condition, Instant Deadline,
            std::function<void(bool)> Done);
  /// @brief Replaces the catalog with the saved state of a peer if that state
  /// is newer.
  /// @throws std::invalid_argument if the text is not a saved catalog.
  /// @warning For the control thread only.
  void adopt(const std::string &Saved) { ConfigFollower.adopt(Saved); }
  /// @brief Registers a hook that is called on the control thread after every
  /// change of the catalog.
  void onChange(std::function<void()> Callback) {
    ChangeHooks.push_back(std::move(Callback));
  }

  /// @brief Appends the items that create a pool to the ledger at once, without
  /// waiting for the VM that is their home. Appending an item twice is
  /// harmless.
  /// @warning For the control thread only.
  void expedite(const PoolId &Awaited);

  void start() override;

private:
  /// @brief A pending call of `wait`.
  struct Waiter {
    std::function<bool()> Condition;
    Instant Deadline;
    std::function<void(bool)> Done;
  };

  /// @brief An item that is to be appended to the ledger.
  struct Forward {
    Instant NextAppend;
    bool Appended = false; ///< This VM has appended it at least once.
  };

  void publish();
  void runPeriodicWork(boost::asio::yield_context Yield);
  void settleWaiters();
  /// @param Awaited The pool that requests wait for; empty for none.
  void forwardToLedger(const PoolId &Awaited);
  void forwardTopUps(const PlanEntry &Entry, const PoolId &Awaited);
  void forwardCapacity(const Target &Changed, const PoolId &Awaited);
  [[nodiscard]] bool beginForward(const std::string &Key, bool IsAwaited);
  void saveSnapshot(boost::asio::yield_context Yield);

  Kernel &Host;
  Follower<Catalog> ConfigFollower;
  std::shared_ptr<const Catalog> Published = std::make_shared<Catalog>();
  std::atomic<bool> Ready{false};
  std::list<Waiter> Waiters;
  std::vector<std::function<void()>> ChangeHooks;
  std::map<std::string, Forward> Forwards; ///< By item.
  Instant NextSnapshot{};
};

} // namespace goldcrestnotch
