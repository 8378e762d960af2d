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
    return std::atomic_load(&Shared);
  }
  /// @brief Whether the catalog was loaded. No requests are served before.
  [[nodiscard]] bool ready() const noexcept { return Ready; }
  /// @brief Whether the last call to the log was answered.
  [[nodiscard]] bool connected() const noexcept { return Source.connected(); }
  /// @brief The current catalog.
  /// @warning For the control thread only.
  [[nodiscard]] const Catalog &catalog() const noexcept {
    return Source.fold();
  }

  /// @brief Calls `Done` with true once a condition holds, or with false when
  /// the deadline passes.
  /// @warning For the control thread only.
  void wait(std::function<bool()> Condition, Instant Until,
            std::function<void(bool)> Done);
  /// @brief Replaces the catalog with the saved state of a peer if that state
  /// is newer.
  /// @throws std::invalid_argument if the text is not a saved catalog.
  /// @warning For the control thread only.
  void adopt(const std::string &Saved) { Source.adopt(Saved); }
  /// @brief Registers a hook that is called on the control thread after every
  /// change of the catalog.
  void onChange(std::function<void()> Hook) {
    Hooks.push_back(std::move(Hook));
  }

  void start() override;

private:
  /// @brief A pending call of `wait`.
  struct Waiter {
    std::function<bool()> Condition;
    Instant Deadline;
    std::function<void(bool)> Done;
  };

  void changed();
  void tick(boost::asio::yield_context Yield);
  void wake();
  void carryOver();
  void carryTopUps(const PlanEntry &Entry);
  void carryCapacity(const Target &One);
  [[nodiscard]] bool due(const std::string &Key);
  void keepSnapshot(boost::asio::yield_context Yield);

  Kernel &Host;
  Follower<Catalog> Source;
  std::shared_ptr<const Catalog> Shared = std::make_shared<Catalog>();
  std::atomic<bool> Ready{false};
  std::list<Waiter> Waiters;
  std::vector<std::function<void()>> Hooks;
  std::map<std::string, Instant> CarryDeadlines; ///< Next append by item.
  Instant SnapshotDeadline{};
};

} // namespace goldcrestnotch
