/// @file
/// Implements the placement plug-in.

#include "goldcrestnotch/placement/service.hpp"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/client.hpp"

namespace goldcrestnotch {

namespace internal {

static constexpr Millis LoadPollInterval{1'000};
static constexpr Millis LoadPollTimeout{500};
static const RegisterPlugin<PlacementService> Registered{Stage::Fleet,
                                                         "placement"};

} // namespace internal

PlacementService::PlacementService(Kernel &Host)
    : Host{Host}, TargetPlacer{Host.settings().Domain} {
  Host.emplace(*this);
}

void PlacementService::start() {
  Host.service<CatalogService>().onChange([this] { prefetchSlots(); });
  boost::asio::spawn(Host.control(), [this](boost::asio::yield_context Yield) {
    pollLoads(Yield);
  });
}

void PlacementService::prefetchSlots() {
  auto &Ledger = Host.service<LedgerService>();
  for (const auto &[Name, Entry] :
       Host.service<CatalogService>().catalog().targets()) {
    const auto Pool = slotPool(Name);
    Ledger.shard(Pool).prefetchSlots(Pool);
  }
}

void PlacementService::acquire(const PlacementRequest &Request,
                               PlacementCallback Done) {
  auto &Ledger = Host.service<LedgerService>();
  const auto &Catalog = Host.service<CatalogService>().catalog();
  const auto Load = [&](const TargetId &Name) {
    const auto Pool = slotPool(Name);
    const auto &Shard = Ledger.shard(Pool);
    return TargetLoad{Shard.reservedSlots(Pool).count(),
                      Shard.availableSlots(Pool).count()};
  };
  const auto Ranked =
      TargetPlacer.rank(DecisionClock::now(), Catalog, Request, Load);
  if (Ranked.empty()) {
    Done(Placement{});
    return;
  }
  const auto Chosen = Catalog.targets().at(Ranked.front());
  const auto Pool = slotPool(Chosen.Name);
  if (Ledger.shard(Pool).state().find(Pool) == nullptr) {
    Host.service<CatalogService>().expedite(Pool);
  }
  Ledger.shard(Pool).reserveSlot(
      Pool, [Chosen, Done](const Decision &SlotDecision) {
        if (std::holds_alternative<Admitted>(SlotDecision)) {
          Done(Placement{Chosen, false});
        } else {
          Done(Placement{std::nullopt, true});
        }
      });
}

void PlacementService::release(const TargetId &Name, TargetResult Result) {
  boost::asio::post(Host.control(), [this, Name, Result] {
    const auto Pool = slotPool(Name);
    Host.service<LedgerService>().shard(Pool).releaseSlot(Pool);
    if (Result == TargetResult::Good) {
      TargetPlacer.recordSuccess(Name);
    } else if (Result == TargetResult::Failed) {
      TargetPlacer.recordFailure(DecisionClock::now(), Name);
      Host.metrics().count("target_failures_total{target=\"" + Name.str() +
                           "\"}");
    }
  });
}

void PlacementService::pollLoads(boost::asio::yield_context Yield) {
  boost::asio::steady_timer Timer{Host.control()};
  while (true) {
    Timer.expires_after(internal::LoadPollInterval);
    Timer.async_wait(Yield);
    const auto Catalog = Host.service<CatalogService>().snapshot();
    for (const auto &[Name, Target] : Catalog->targets()) {
      boost::asio::spawn(
          Host.control(),
          [this, Polled = Target](boost::asio::yield_context PollYield) {
            pollTarget(PollYield, Polled);
          });
    }
  }
}

void PlacementService::pollTarget(boost::asio::yield_context Yield,
                                  const Target &Polled) {
  http::Request LoadRequest;
  LoadRequest.Path = "/v1/load";
  try {
    const auto Deadline = DecisionClock::now() + internal::LoadPollTimeout;
    const auto Response =
        http::Client{Yield, Polled.Address}.send(LoadRequest, Deadline);
    const auto Report = nlohmann::json::parse(Response.Body, nullptr, false);
    if (Report.is_object() && Report.value("leaving", false)) {
      TargetPlacer.markLeaving(Polled.Name);
    } else {
      TargetPlacer.markAvailable(Polled.Name);
    }
  } catch (const Error &) {
    Host.metrics().count("load_poll_failures_total");
  }
}

} // namespace goldcrestnotch
