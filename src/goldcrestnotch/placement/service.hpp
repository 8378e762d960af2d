/// @file
/// Gives requests a target and a slot on it, on the control thread.

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/catalog/service.hpp"
#include "goldcrestnotch/kernel/kernel.hpp"
#include "goldcrestnotch/ledger/service.hpp"
#include "goldcrestnotch/placement/placer.hpp"

namespace goldcrestnotch {

/// @brief A target with a slot, or why there is none.
struct Placement {
  std::optional<Target> Chosen;
  bool Overloaded = false; ///< Targets are fit, but none has a slot.
};

/// @brief How a request on a target ended.
enum class TargetResult : std::uint8_t { Good, Failed, Unused };

/// @brief The plug-in that owns the placer.
class PlacementService final : public Plugin {
public:
  using Placed = std::function<void(Placement)>;

  explicit PlacementService(Kernel &Host);

  /// @brief Finds a target and takes a slot; waits for a slot if need be.
  /// @warning For the control thread only.
  void acquire(const PlacementRequest &Wanted, Placed Done);
  /// @brief Gives a slot back. From any thread.
  void release(const TargetId &Name, TargetResult How);

  void start() override;

private:
  void openSlots();
  void poll(boost::asio::yield_context Yield);
  void ask(boost::asio::yield_context Yield, const Target &One);

  Kernel &Host;
  Placer<> Choice;
};

/// @brief Holds a slot until it goes out of scope.
class SlotLease {
public:
  SlotLease(PlacementService &From, Target On)
      : From{From}, Held{std::move(On)} {}
  ~SlotLease() { From.release(Held.Name, How); }
  SlotLease(const SlotLease &) = delete;
  SlotLease &operator=(const SlotLease &) = delete;

  [[nodiscard]] const Target &target() const noexcept { return Held; }
  void setResult(TargetResult Result) noexcept { How = Result; }

private:
  PlacementService &From;
  Target Held;
  TargetResult How = TargetResult::Unused;
};

} // namespace goldcrestnotch
