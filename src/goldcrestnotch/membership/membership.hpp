/// @file
/// Polls the platform's live list on the control thread and decides whether
/// this VM may serve.

#pragma once

#include <atomic>
#include <memory>

#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/kernel/kernel.hpp"
#include "goldcrestnotch/membership/membership_view.hpp"

namespace goldcrestnotch {

/// @brief Plug-in that maintains the view of the fleet.
class Membership final : public Plugin {
public:
  explicit Membership(Kernel &Host);

  /// @brief The current view.
  /// @warning To be used on the control thread only.
  [[nodiscard]] MembershipView &view() noexcept { return FleetView; }
  /// @brief An immutable copy of the view. May be called on any thread.
  [[nodiscard]] std::shared_ptr<const MembershipView>
  snapshot() const noexcept {
    return std::atomic_load(&Snapshot);
  }

  /// @brief Whether this VM may still use its grants. It turns false before
  /// other VMs may count this VM as gone. May be called on any thread.
  [[nodiscard]] bool mayServe(Instant Now) const noexcept {
    return Now < ServeDeadline.load();
  }

  void start() override;

private:
  void pollLoop(boost::asio::yield_context Yield);
  void pollLiveList(boost::asio::yield_context Yield);
  /// @brief Stops the process if this VM has been missing from the live list
  /// for half of `gone_after_ms`.
  void checkOwnEntry();
  /// @brief Records that the platform listed this VM at an instant.
  void confirmListed(Instant ListedAt);

  Kernel &Host;
  MembershipView FleetView;
  /// Lies nine tenths of `gone_after_ms` after the request of the last list
  /// that had this VM: the rest is the margin before other VMs count it as
  /// gone.
  std::atomic<Instant> ServeDeadline{Instant{}};
  std::shared_ptr<const MembershipView> Snapshot =
      std::make_shared<MembershipView>();
};

} // namespace goldcrestnotch
