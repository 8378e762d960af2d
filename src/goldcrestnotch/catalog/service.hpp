/// @file
/// Follows the `config` stream, shares the catalog with traffic threads, and
/// carries accepted top-ups and capacities over to the ledger.

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

/// @brief The plug-in that owns the published configuration.
class CatalogService final : public Plugin {
public:
  explicit CatalogService(Kernel &Host);

  /// @brief A catalog for traffic threads; never null.
  [[nodiscard]] std::shared_ptr<const Catalog> snapshot() const noexcept {
    return std::atomic_load(&Shared);
  }
  /// @brief Whether a version is known; nothing is served before.
  [[nodiscard]] bool ready() const noexcept { return Ready; }
  [[nodiscard]] bool connected() const noexcept { return Source.connected(); }
  /// @warning For the control thread only.
  [[nodiscard]] const Catalog &catalog() const noexcept {
    return Source.state();
  }

  /// @brief Calls back when a condition holds, or with false at the deadline.
  /// @warning For the control thread only.
  void wait(std::function<bool()> Condition, Instant Until,
            std::function<void(bool)> Done);
  /// @brief Takes a newer state that a peer has.
  /// @warning For the control thread only.
  void adopt(const std::string &Saved) { Source.adopt(Saved); }
  /// @brief Called after every change, on the control thread.
  void onChange(std::function<void()> Hook) {
    Hooks.push_back(std::move(Hook));
  }

  void start() override;

private:
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
  std::map<std::string, Instant> CarryDeadlines; ///< When to append (again).
  Instant SnapshotDeadline{};
};

} // namespace goldcrestnotch
