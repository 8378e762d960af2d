/// @file
/// The recovery plug-in.

#include "goldcrestnotch/recovery/service.hpp"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "goldcrestnotch/catalog/service.hpp"
#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/client.hpp"
#include "goldcrestnotch/ledger/service.hpp"
#include "goldcrestnotch/membership/membership.hpp"

namespace goldcrestnotch {

using nlohmann::json;

namespace internal {

static constexpr Millis SweepPoll{200};
static constexpr Millis AskLimit{2'000};
static const RegisterPlugin<RecoveryService> Registered{Stage::Fleet,
                                                        "recovery"};

/// @brief Reads one engine's list of streams.
/// @throws Error, json::exception.
static void askEngine(boost::asio::yield_context Yield, const Target &One,
                      SweepReport &Into) {
  http::Request Asked;
  Asked.Path = "/v1/streams";
  Asked.Query = "owner=" + Into.Dead.str();
  const auto Answer = http::Client{Yield, One.Where}.send(
      Asked, DecisionClock::now() + AskLimit);
  const auto Source = json::parse(Answer.Body);
  const LogTime Forgotten{Millis{Source.at("forgotten_ms").get<int64_t>()}};
  Into.Forgotten = std::max(Into.Forgotten, Forgotten);
  for (const auto &Row : Source.at("streams")) {
    Into.Streams.push_back({RequestId{Row.at("id").get<std::string>()},
                            PoolId{Row.at("tag").get<std::string>()},
                            Tokens{Row.at("tokens").get<std::int64_t>()},
                            Row.at("ended").get<bool>()});
  }
}

} // namespace internal

RecoveryService::RecoveryService(Kernel &Host) : Host{Host} {
  const auto &Given = Host.settings();
  Sweepers.assign(
      Host.service<LedgerService>().shards().size(),
      Sweeper{Host.self().Vm, SweepTimes{Given.GoneAfter, Given.SweepLimit}});
}

void RecoveryService::start() {
  boost::asio::spawn(Host.control(),
                     [this](boost::asio::yield_context Yield) { run(Yield); });
}

void RecoveryService::run(boost::asio::yield_context Yield) {
  boost::asio::steady_timer Timer{Host.control()};
  while (true) {
    Timer.expires_after(internal::SweepPoll);
    Timer.async_wait(Yield);
    if (!Host.service<Membership>().view().ready()) {
      continue;
    }
    for (std::size_t I = 0; I < Sweepers.size(); ++I) {
      sweep(Yield, I);
    }
  }
}

void RecoveryService::sweep(boost::asio::yield_context Yield,
                            std::size_t Index) {
  auto &Shard = *Host.service<LedgerService>().shards()[Index];
  auto &View = Host.service<Membership>().view();
  if (!Shard.ready() || !Shard.connected()) {
    return;
  }
  for (auto &One : Sweepers[Index].retire(Shard.state(), View)) {
    log(LogLevel::Warn, "holder.retired",
        {{"holder", std::get<Retire>(One).Dead.str()}});
    Shard.emplace(std::move(One));
  }
  const auto Due =
      Sweepers[Index].due(DecisionClock::now(), Shard.state(), View);
  for (const auto &Dead : Due) {
    const auto Seen = ask(Yield, Dead);
    const auto Items = Sweepers[Index].report(
        DecisionClock::now(), Shard.state(), Seen,
        [Index](const PoolId &Name) { return shardOf(Name) == Index; });
    for (const auto &One : Items) {
      Shard.emplace(One);
    }
    if (!Items.empty()) {
      log(LogLevel::Info, "holder.settled",
          {{"holder", Dead.str()},
           {"streams", static_cast<std::int64_t>(Seen.Streams.size())},
           {"complete", Seen.Complete}});
    }
  }
}

SweepReport RecoveryService::ask(boost::asio::yield_context Yield,
                                 const HolderId &Dead) {
  SweepReport Result{Dead, true, {}, {}};
  const auto Catalog = Host.service<CatalogService>().snapshot();
  for (const auto &[Name, One] : Catalog->targets()) {
    const auto On = Catalog->routes().find(One.Serves);
    if (On == Catalog->routes().end() || On->second.Kind != RouteKind::Chat) {
      continue;
    }
    try {
      internal::askEngine(Yield, One, Result);
    } catch (const std::exception &) {
      Result.Complete = false;
    }
  }
  return Result;
}

} // namespace goldcrestnotch
