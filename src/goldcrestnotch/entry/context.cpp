/// @file
/// Authentication, admission checks and placement for the request handlers.

#include "goldcrestnotch/entry/context.hpp"

#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/entry/answer.hpp"

namespace goldcrestnotch {

namespace internal {

static constexpr Millis RetryDelay{1'000};
static constexpr std::size_t MaxKeyBytes = 255;

} // namespace internal

Workspace EntryContext::authenticate(const http::Request &Request) const {
  const auto *Owner = catalog()->findByKeyDigest(keyDigest(bearerKey(Request)));
  if (Owner == nullptr) {
    throw Error{401, "key_unknown", "the API key is not known"};
  }
  return *Owner;
}

Route EntryContext::route(const RouteId &Name, RouteKind Kind) const {
  const auto Current = catalog();
  const auto It = Current->routes().find(Name);
  if (It == Current->routes().end() || It->second.Kind != Kind) {
    throw Error{404, "route_unknown", "no route of this kind has this name"};
  }
  return It->second;
}

void EntryContext::requireServing() const {
  if (Host.draining()) {
    throw Error{503, "vm_leaving", "this VM is shutting down; use another VM"}
        .withRetryAfter(Millis{0});
  }
  if (!CatalogPlugin.ready()) {
    throw Error{503, "vm_starting", "this VM has no configuration yet"}
        .withRetryAfter(internal::RetryDelay);
  }
  requireNotCutOff();
}

void EntryContext::requireNotCutOff() const {
  if (!MembershipPlugin.mayServe(DecisionClock::now())) {
    Host.metrics().count("refusals_total{cause=\"cut_off\"}");
    throw Error{503, "vm_cut_off",
                "this VM has been cut off from the platform for too long; use "
                "another VM"}
        .withRetryAfter(Millis{0});
  }
}

std::unique_ptr<SlotLease>
EntryContext::acquireSlot(boost::asio::yield_context Yield,
                          const PlacementRequest &Request) {
  const auto Result = await<Placement>(Yield, [&](auto Done) {
    boost::asio::post(Host.control(), [this, Request, Done] {
      PlacementPlugin.acquire(Request, Done);
    });
  });
  if (Result.Chosen) {
    auto Lease = std::make_unique<SlotLease>(PlacementPlugin, *Result.Chosen);
    requireNotCutOff();
    return Lease;
  }
  Host.metrics().count(Result.Overloaded
                           ? "refusals_total{cause=\"overloaded\"}"
                           : "refusals_total{cause=\"no_target\"}");
  throw Error{503, Result.Overloaded ? "overloaded" : "no_target",
              Result.Overloaded ? "all targets of the route are at capacity"
                                : "the route has no healthy target"}
      .withRetryAfter(internal::RetryDelay);
}

RequestId EntryContext::requestId(const WorkspaceId &Name,
                                  const std::string &Key) {
  return RequestId{Key.empty() ? randomHex(16)
                               : digestOf(Name.str() + "\n" + Key)};
}

std::string EntryContext::idempotencyKey(const http::Request &Request) {
  std::string Key{Request.field("Idempotency-Key")};
  if (Key.size() > internal::MaxKeyBytes) {
    throw Error{400, "invalid_key",
                "the Idempotency-Key is longer than 255 bytes"};
  }
  return Key;
}

} // namespace goldcrestnotch
