/// @file
/// Implements the recovery plug-in.

#include "goldcrestnotch/recovery/service.hpp"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "goldcrestnotch/catalog/service.hpp"
#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/client.hpp"
#include "goldcrestnotch/http/query.hpp"
#include "goldcrestnotch/ledger/service.hpp"
#include "goldcrestnotch/membership/membership.hpp"

namespace goldcrestnotch {

using nlohmann::json;

namespace internal {

static constexpr Millis SweepInterval{200};
static constexpr Millis EngineTimeout{2'000};
static const RegisterPlugin<RecoveryService> Registered{Stage::Fleet,
                                                        "recovery"};

/// @brief Adds one engine's streams of the dead holder to a report.
/// @throws Error if the engine can't be reached.
/// @throws json::exception if its response is malformed.
static void queryEngine(boost::asio::yield_context Yield, const Target &Engine,
                        SweepReport &Report) {
  http::Request StreamsRequest;
  StreamsRequest.Path = "/v1/streams";
  StreamsRequest.Query =
      http::QueryBuilder{}.add("owner", Report.Holder.str()).build();
  const auto Response = http::Client{Yield, Engine.Address}.send(
      StreamsRequest, DecisionClock::now() + EngineTimeout);
  const auto Document = json::parse(Response.Body);
  const LogTime ForgottenEnd{
      Millis{Document.at("forgotten_ms").get<int64_t>()}};
  Report.LastForgottenEnd = std::max(Report.LastForgottenEnd, ForgottenEnd);
  for (const auto &Row : Document.at("streams")) {
    Report.Streams.push_back({RequestId{Row.at("id").get<std::string>()},
                              PoolId{Row.at("tag").get<std::string>()},
                              Tokens{Row.at("tokens").get<std::int64_t>()},
                              Row.at("ended").get<bool>()});
  }
}

} // namespace internal

RecoveryService::RecoveryService(Kernel &Host) : Host{Host} {
  const auto &Settings = Host.settings();
  Sweepers.assign(
      Host.service<LedgerService>().shards().size(),
      Sweeper{Host.self().Vm,
              SweepSettings{Settings.GoneTimeout, Settings.WriteOffTimeout}});
}

void RecoveryService::start() {
  boost::asio::spawn(Host.control(), [this](boost::asio::yield_context Yield) {
    sweepLoop(Yield);
  });
}

void RecoveryService::sweepLoop(boost::asio::yield_context Yield) {
  boost::asio::steady_timer Timer{Host.control()};
  while (true) {
    Timer.expires_after(internal::SweepInterval);
    Timer.async_wait(Yield);
    if (!Host.service<Membership>().view().ready()) {
      continue;
    }
    for (std::size_t I = 0; I < Sweepers.size(); ++I) {
      sweepShard(Yield, I);
    }
  }
}

void RecoveryService::sweepShard(boost::asio::yield_context Yield,
                                 std::size_t Index) {
  auto &Shard = *Host.service<LedgerService>().shards()[Index];
  auto &View = Host.service<Membership>().view();
  if (!Shard.ready() || !Shard.connected()) {
    return;
  }
  for (auto &Item : Sweepers[Index].retireGoneHolders(Shard.state(), View)) {
    log(LogLevel::Warn, "holder.retired",
        {{"holder", std::get<Retire>(Item).Dead.str()}});
    Shard.emplace(std::move(Item));
  }
  const auto Due =
      Sweepers[Index].dueHolders(DecisionClock::now(), Shard.state(), View);
  for (const auto &Dead : Due) {
    const auto Report = queryEngines(Yield, Dead);
    const auto Items = Sweepers[Index].settle(
        DecisionClock::now(), Shard.state(), Report,
        [Index](const PoolId &Name) { return shardOf(Name) == Index; });
    for (const auto &Item : Items) {
      Shard.emplace(Item);
    }
    if (!Items.empty()) {
      log(LogLevel::Info, "holder.settled",
          {{"holder", Dead.str()},
           {"streams", static_cast<std::int64_t>(Report.Streams.size())},
           {"complete", Report.Complete}});
    }
  }
}

SweepReport RecoveryService::queryEngines(boost::asio::yield_context Yield,
                                          const HolderId &Dead) {
  SweepReport Result{Dead, true, {}, {}};
  const auto Catalog = Host.service<CatalogService>().snapshot();
  for (const auto &[Name, Target] : Catalog->targets()) {
    const auto Route = Catalog->routes().find(Target.Serves);
    if (Route == Catalog->routes().end() ||
        Route->second.Kind != RouteKind::Chat) {
      continue;
    }
    try {
      internal::queryEngine(Yield, Target, Result);
    } catch (const std::exception &) {
      Result.Complete = false;
    }
  }
  return Result;
}

} // namespace goldcrestnotch
