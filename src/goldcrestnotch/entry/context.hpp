/// @file
/// What every handler needs: services, the caller's workspace, trace.

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

/// @brief The daemon's services as handlers on traffic threads use them.
class EntryContext {
public:
  explicit EntryContext(Kernel &Host)
      : Host{Host}, Catalogs{Host.service<CatalogService>()},
        Ledger{Host.service<LedgerService>()},
        Places{Host.service<PlacementService>()},
        Moves{Host.service<RolloutService>()},
        Members{Host.service<Membership>()} {}

  [[nodiscard]] Kernel &host() noexcept { return Host; }
  [[nodiscard]] PlacementService &places() noexcept { return Places; }
  [[nodiscard]] LedgerService &ledger() noexcept { return Ledger; }
  [[nodiscard]] RolloutService &moves() noexcept { return Moves; }
  [[nodiscard]] CatalogService &catalogs() noexcept { return Catalogs; }
  [[nodiscard]] std::shared_ptr<const Catalog> catalog() const {
    return Catalogs.snapshot();
  }

  /// @brief The workspace whose key the caller shows.
  /// @throws Error with status 401.
  [[nodiscard]] Workspace authenticate(const http::Request &Asked) const;
  /// @brief The route, if it is of the kind.
  /// @throws Error with status 404.
  [[nodiscard]] Route route(const RouteId &Name, RouteKind Kind) const;
  /// @brief Refuses work that this VM can't take.
  /// @throws Error with status 503.
  void requireServing() const;
  /// @brief Refuses work once other VMs may have taken this one for gone.
  /// @throws Error with status 503.
  void requireStanding() const;
  /// @brief Finds a target and a slot.
  /// @throws Error with status 503, not run.
  [[nodiscard]] std::unique_ptr<SlotLease>
  place(boost::asio::yield_context Yield, const PlacementRequest &Wanted);
  /// @brief The id of a request: the caller's key within its workspace, or a
  /// new one.
  [[nodiscard]] static RequestId requestId(const WorkspaceId &Name,
                                           const std::string &Key);
  /// @brief The idempotency key of a request, or an empty text.
  /// @throws Error with status 400 if it is not usable.
  [[nodiscard]] static std::string idempotencyKey(const http::Request &Asked);

private:
  Kernel &Host;
  CatalogService &Catalogs;
  LedgerService &Ledger;
  PlacementService &Places;
  RolloutService &Moves;
  Membership &Members;
};

} // namespace goldcrestnotch
