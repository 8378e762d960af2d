/// @file
/// State and checks that the request handlers share: access to the VM's
/// services, authentication, route lookup, admission checks and placement.

#pragma once

#include <memory>
#include <string>

#include "goldcrestnotch/catalog/service.hpp"
#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/server.hpp"
#include "goldcrestnotch/kernel/await.hpp"
#include "goldcrestnotch/kernel/kernel.hpp"
#include "goldcrestnotch/ledger/service.hpp"
#include "goldcrestnotch/membership/membership.hpp"
#include "goldcrestnotch/placement/service.hpp"
#include "goldcrestnotch/rollout/service.hpp"
#include "goldcrestnotch/telemetry/span.hpp"

namespace goldcrestnotch {

/// @brief Gives request handlers, which run on traffic threads, access to the
/// services of the VM.
class EntryContext {
public:
  explicit EntryContext(Kernel &Host)
      : Host{Host}, CatalogPlugin{Host.service<CatalogService>()},
        Ledger{Host.service<LedgerService>()},
        PlacementPlugin{Host.service<PlacementService>()},
        RolloutPlugin{Host.service<RolloutService>()},
        MembershipPlugin{Host.service<Membership>()} {}

  [[nodiscard]] Kernel &host() noexcept { return Host; }
  [[nodiscard]] PlacementService &placement() noexcept {
    return PlacementPlugin;
  }
  [[nodiscard]] LedgerService &ledger() noexcept { return Ledger; }
  [[nodiscard]] RolloutService &rollout() noexcept { return RolloutPlugin; }
  [[nodiscard]] CatalogService &catalogService() noexcept {
    return CatalogPlugin;
  }
  [[nodiscard]] std::shared_ptr<const Catalog> catalog() const {
    return CatalogPlugin.snapshot();
  }

  /// @brief Returns the workspace that owns the bearer key of the request.
  /// @throws Error with status 401 if the key is missing or unknown.
  [[nodiscard]] Workspace authenticate(const http::Request &Request) const;
  /// @brief Finds a route by name and kind.
  /// @throws Error with status 404 if no route has this name, or if it is of
  /// another kind.
  [[nodiscard]] Route route(const RouteId &Name, RouteKind Kind) const;
  /// @brief Checks that this VM accepts new requests.
  /// @throws Error with status 503 if the VM is draining, has no configuration
  /// yet, or is cut off from the platform.
  void requireServing() const;
  /// @brief Checks that other VMs can't have declared this VM dead yet. A VM
  /// that was cut off from the platform for longer must not serve requests.
  /// @throws Error with status 503 if it is cut off.
  void requireNotCutOff() const;
  /// @brief Acquires a slot on a target of the requested route.
  /// @throws Error with status 503 and verdict `NotRun` if no target has a free
  /// slot, or if the VM was cut off while the request waited.
  [[nodiscard]] std::unique_ptr<SlotLease>
  acquireSlot(boost::asio::yield_context Yield,
              const PlacementRequest &Request);
  /// @brief Returns the id of a request: a digest of workspace and idempotency
  /// key, so that retries get the same id; random if the key is empty.
  [[nodiscard]] static RequestId requestId(const WorkspaceId &Name,
                                           const std::string &Key);
  /// @brief Returns the idempotency key of a request, or an empty string if it
  /// has none.
  /// @throws Error with status 400 if the key is too long.
  [[nodiscard]] static std::string idempotencyKey(const http::Request &Request);

private:
  Kernel &Host;
  CatalogService &CatalogPlugin;
  LedgerService &Ledger;
  PlacementService &PlacementPlugin;
  RolloutService &RolloutPlugin;
  Membership &MembershipPlugin;
};

} // namespace goldcrestnotch
