/// @file
/// The placement plug-in.

#include "goldcrestnotch/placement/service.hpp"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/client.hpp"

namespace goldcrestnotch {

namespace internal {

static constexpr Millis LoadPollEvery{1'000};
static constexpr Millis LoadPollLimit{500};
static const RegisterPlugin<PlacementService> Registered{Stage::Fleet,
                                                         "placement"};

} // namespace internal

PlacementService::PlacementService(Kernel &Host)
    : Host{Host}, Choice{Host.settings().Domain} {
  Host.emplace(*this);
}

void PlacementService::start() {
  Host.service<CatalogService>().onChange([this] { openSlots(); });
  boost::asio::spawn(Host.control(),
                     [this](boost::asio::yield_context Yield) { poll(Yield); });
}

void PlacementService::openSlots() {
  auto &Ledger = Host.service<LedgerService>();
  for (const auto &[Name, One] :
       Host.service<CatalogService>().catalog().targets()) {
    const auto Pool = slotPool(Name);
    Ledger.shard(Pool).open(Pool);
  }
}

void PlacementService::acquire(const PlacementRequest &Wanted, Placed Done) {
  auto &Ledger = Host.service<LedgerService>();
  const auto &Catalog = Host.service<CatalogService>().catalog();
  const auto Load = [&](const TargetId &Name) {
    const auto Pool = slotPool(Name);
    const auto &Shard = Ledger.shard(Pool);
    return TargetLoad{Shard.slotsUsed(Pool).count(), Shard.slots(Pool).count()};
  };
  const auto Ranked = Choice.rank(DecisionClock::now(), Catalog, Wanted, Load);
  if (Ranked.empty()) {
    Done(Placement{});
    return;
  }
  const auto Chosen = Catalog.targets().at(Ranked.front());
  const auto Pool = slotPool(Chosen.Name);
  Ledger.shard(Pool).takeSlot(Pool, [Chosen, Done](const Decision &Result) {
    if (std::holds_alternative<Admitted>(Result)) {
      Done(Placement{Chosen, false});
    } else {
      Done(Placement{std::nullopt, true});
    }
  });
}

void PlacementService::release(const TargetId &Name, TargetResult How) {
  boost::asio::post(Host.control(), [this, Name, How] {
    const auto Pool = slotPool(Name);
    Host.service<LedgerService>().shard(Pool).freeSlot(Pool);
    if (How == TargetResult::Good) {
      Choice.succeed(Name);
    } else if (How == TargetResult::Failed) {
      Choice.fail(DecisionClock::now(), Name);
      Host.metrics().count("target_failures_total{target=\"" + Name.str() +
                           "\"}");
    }
  });
}

void PlacementService::poll(boost::asio::yield_context Yield) {
  boost::asio::steady_timer Timer{Host.control()};
  while (true) {
    Timer.expires_after(internal::LoadPollEvery);
    Timer.async_wait(Yield);
    const auto Catalog = Host.service<CatalogService>().snapshot();
    for (const auto &[Name, One] : Catalog->targets()) {
      boost::asio::spawn(
          Host.control(),
          [this, One = One](boost::asio::yield_context Ask) { ask(Ask, One); });
    }
  }
}

void PlacementService::ask(boost::asio::yield_context Yield,
                           const Target &One) {
  http::Request Asked;
  Asked.Path = "/v1/load";
  try {
    const auto Until = DecisionClock::now() + internal::LoadPollLimit;
    const auto Answer = http::Client{Yield, One.Where}.send(Asked, Until);
    const auto Report = nlohmann::json::parse(Answer.Body, nullptr, false);
    if (Report.is_object() && Report.value("leaving", false)) {
      Choice.leave(One.Name);
    } else {
      Choice.stay(One.Name);
    }
  } catch (const Error &) {
    Host.metrics().count("load_poll_failures_total");
  }
}

} // namespace goldcrestnotch
