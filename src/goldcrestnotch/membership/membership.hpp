/// @file
/// Polls the platform's live list on the control thread.

#pragma once

#include <atomic>
#include <memory>

#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/kernel/kernel.hpp"
#include "goldcrestnotch/membership/membership_view.hpp"

namespace goldcrestnotch {

/// @brief The plug-in that keeps the view of the fleet.
class Membership final : public Plugin {
public:
  explicit Membership(Kernel &Host);

  /// @warning For the control thread only.
  [[nodiscard]] MembershipView &view() noexcept { return Current; }
  /// @brief A copy for traffic threads.
  [[nodiscard]] std::shared_ptr<const MembershipView>
  snapshot() const noexcept {
    return std::atomic_load(&Shared);
  }

  /// @brief Whether this VM may still hold its rights: the others take a VM
  /// for gone only later than this turns false. From any thread.
  [[nodiscard]] bool mayServe(Instant Now) const noexcept {
    return Now < ServeDeadline.load();
  }

  void start() override;

private:
  void run(boost::asio::yield_context Yield);
  void poll(boost::asio::yield_context Yield);
  void checkSelf();
  /// @brief The platform is known to have listed this VM at an instant.
  void confirm(Instant Then);

  Kernel &Host;
  MembershipView Current;
  /// Nine tenths of `gone_after_ms` from the last list that showed this VM.
  std::atomic<Instant> ServeDeadline{Instant{}};
  std::shared_ptr<const MembershipView> Shared =
      std::make_shared<MembershipView>();
};

} // namespace goldcrestnotch
