/// @file
/// Assigns a target and one of its slots to each request, on the control
/// thread.

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

/// @brief Result of a placement: a target with a reserved slot, or the reason
/// why there is none.
struct Placement {
  std::optional<Target> Chosen;
  bool Overloaded = false; ///< Targets are eligible, but no slot is free.
};

/// @brief Outcome of a request for the health of its target; `Unused` if the
/// request says nothing about it.
enum class TargetResult : std::uint8_t { Good, Failed, Unused };

/// @brief Plug-in that owns the placer, reserves slots in the ledger and polls
/// the targets.
class PlacementService final : public Plugin {
public:
  using PlacementCallback = std::function<void(Placement)>;

  explicit PlacementService(Kernel &Host);

  /// @brief Chooses a target and reserves a slot on it.
  /// @param Done Called with the result, which may come after a wait for a
  /// slot.
  /// @warning To be called on the control thread only.
  void acquire(const PlacementRequest &Request, PlacementCallback Done);
  /// @brief Returns a slot and records the outcome of its request. May be
  /// called on any thread.
  void release(const TargetId &Name, TargetResult Result);

  void start() override;

private:
  /// @brief Makes the ledger draw slots of each target in advance.
  void prefetchSlots();
  void pollLoads(boost::asio::yield_context Yield);
  /// @brief Asks a target whether it is leaving.
  void pollTarget(boost::asio::yield_context Yield, const Target &Polled);

  Kernel &Host;
  Placer<> TargetPlacer;
};

/// @brief Owns a slot and returns it on destruction.
class SlotLease {
public:
  SlotLease(PlacementService &Service, Target SlotTarget)
      : Service{Service}, SlotTarget{std::move(SlotTarget)} {}
  ~SlotLease() { Service.release(SlotTarget.Name, Result); }
  SlotLease(const SlotLease &) = delete;
  SlotLease &operator=(const SlotLease &) = delete;

  [[nodiscard]] const Target &target() const noexcept { return SlotTarget; }
  /// @brief Sets the outcome to record on destruction.
  void setResult(TargetResult NewResult) noexcept { Result = NewResult; }

private:
  PlacementService &Service;
  Target SlotTarget;
  TargetResult Result = TargetResult::Unused;
};

} // namespace goldcrestnotch
