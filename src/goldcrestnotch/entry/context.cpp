/// @file
/// Checks and steps that handlers share.

#include "goldcrestnotch/entry/context.hpp"

#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/entry/answer.hpp"

namespace goldcrestnotch {

namespace internal {

static constexpr Millis ComeBackSoon{1'000};
static constexpr std::size_t KeyBytes = 255;

} // namespace internal

Workspace EntryContext::authenticate(const http::Request &Asked) const {
  const auto *Found = catalog()->findKey(keyDigest(bearer(Asked)));
  if (Found == nullptr) {
    throw Error{401, "key_unknown", "the key is not known"};
  }
  return *Found;
}

Route EntryContext::route(const RouteId &Name, RouteKind Kind) const {
  const auto Current = catalog();
  const auto It = Current->routes().find(Name);
  if (It == Current->routes().end() || It->second.Kind != Kind) {
    throw Error{404, "route_unknown", "there is no such route"};
  }
  return It->second;
}

void EntryContext::requireServing() const {
  if (Host.draining()) {
    throw Error{503, "vm_leaving", "this VM is leaving; ask another"}
        .withRetryAfter(Millis{0});
  }
  if (!Catalogs.ready()) {
    throw Error{503, "vm_starting", "this VM has no configuration yet"}
        .withRetryAfter(internal::ComeBackSoon);
  }
  requireStanding();
}

void EntryContext::requireStanding() const {
  if (!Members.mayServe(DecisionClock::now())) {
    Host.metrics().count("refusals_total{cause=\"cut_off\"}");
    throw Error{503, "vm_cut_off",
                "this VM has been cut off from the platform for too long; ask "
                "another"}
        .withRetryAfter(Millis{0});
  }
}

std::unique_ptr<SlotLease> EntryContext::place(boost::asio::yield_context Yield,
                                               const PlacementRequest &Wanted) {
  const auto Found = await<Placement>(Yield, [&](auto Done) {
    boost::asio::post(Host.control(),
                      [this, Wanted, Done] { Places.acquire(Wanted, Done); });
  });
  if (Found.Chosen) {
    auto Held = std::make_unique<SlotLease>(Places, *Found.Chosen);
    requireStanding();
    return Held;
  }
  Host.metrics().count(Found.Overloaded
                           ? "refusals_total{cause=\"overloaded\"}"
                           : "refusals_total{cause=\"no_target\"}");
  throw Error{503, Found.Overloaded ? "overloaded" : "no_target",
              Found.Overloaded ? "all targets of the route are full"
                               : "no target of the route is fit"}
      .withRetryAfter(internal::ComeBackSoon);
}

RequestId EntryContext::requestId(const WorkspaceId &Name,
                                  const std::string &Key) {
  return RequestId{Key.empty() ? randomHex(16)
                               : digestOf(Name.str() + "\n" + Key)};
}

std::string EntryContext::idempotencyKey(const http::Request &Asked) {
  std::string Key{Asked.field("Idempotency-Key")};
  if (Key.size() > internal::KeyBytes) {
    throw Error{400, "invalid_key", "an Idempotency-Key has at most 255 bytes"};
  }
  return Key;
}

} // namespace goldcrestnotch
