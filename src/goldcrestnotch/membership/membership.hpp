/// @file
/// Polls the platform's live list on the control thread.

#pragma once

#include <atomic>
#include <memory>

#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/kernel/kernel.hpp"
#include "goldcrestnotch/membership/view.hpp"

namespace goldcrestnotch {

/// @brief The plug-in that keeps the view of the fleet.
class Membership final : public Plugin {
public:
  explicit Membership(Kernel &Host);

  /// @warning For the control thread only.
  [[nodiscard]] View &view() noexcept { return Current; }
  /// @brief A copy for traffic threads.
  [[nodiscard]] std::shared_ptr<const View> snapshot() const noexcept {
    return std::atomic_load(&Shared);
  }

  void start() override;

private:
  void run(boost::asio::yield_context Yield);
  void poll(boost::asio::yield_context Yield);
  void checkSelf();

  Kernel &Host;
  View Current;
  std::shared_ptr<const View> Shared = std::make_shared<View>();
};

} // namespace goldcrestnotch
