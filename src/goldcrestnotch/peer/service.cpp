/// @file
/// The peer plug-in.

#include "goldcrestnotch/peer/service.hpp"

#include <algorithm>

#include <boost/asio/steady_timer.hpp>

#include "goldcrestnotch/catalog/service.hpp"
#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/membership/membership.hpp"
#include "goldcrestnotch/rollout/service.hpp"

namespace goldcrestnotch {

namespace internal {

static constexpr Millis DigestEvery{500};
static constexpr std::size_t LinksPerVm = 3;
static constexpr std::size_t NonceBytes = 16;
static const RegisterPlugin<PeerService> Registered{Stage::Traffic, "peer"};

} // namespace internal

PeerService::PeerService(Kernel &Host)
    : Host{Host}, Rules{Host.self().Vm, Host.settings().PeerKey},
      Hub{Host.control(),
          PeerHooks{[this](PeerHandle Which, bool) {
                      act(Rules.open(Which, randomHex(internal::NonceBytes)));
                    },
                    [this](PeerHandle From, const std::string &Bytes) {
                      act(Rules.receive(DecisionClock::now(), From, Bytes));
                    },
                    [this](PeerHandle Which) {
                      Rules.close(Which);
                      std::erase_if(Dialled, [Which](const auto &Entry) {
                        return Entry.second == Which;
                      });
                    }}} {}

void PeerService::start() {
  const auto &Where = Host.settings().Peer;
  const auto Port = Hub.listen(Where.Address, Where.Port);
  log(LogLevel::Info, "peer.listening",
      {{"peer", Where.Address + ":" + std::to_string(Port)}});
  boost::asio::spawn(Host.control(),
                     [this](boost::asio::yield_context Yield) { run(Yield); });
}

void PeerService::run(boost::asio::yield_context Yield) {
  boost::asio::steady_timer Timer{Host.control()};
  while (true) {
    Timer.expires_after(internal::DigestEvery);
    Timer.async_wait(Yield);
    connect();
    act(Rules.tell(
        PeerDigest{Host.service<CatalogService>().catalog().next(),
                   Host.service<RolloutService>().moveTable().next()}));
    Host.metrics().set("peers", static_cast<double>(Rules.size()));
  }
}

void PeerService::connect() {
  const auto &View = Host.service<Membership>().view();
  const auto Ranked = View.ranked("peers/" + Host.self().Vm.str());
  std::size_t Wanted = internal::LinksPerVm;
  for (const auto &One : Ranked) {
    if (Wanted == 0) {
      return;
    }
    if (One.Name == Host.self().Vm) {
      continue;
    }
    --Wanted;
    if (!Dialled.contains(One.Name) && !Rules.contains(One.Name)) {
      Dialled[One.Name] = Hub.connect(One.Peer.Address, One.Peer.Port);
    }
  }
}

void PeerService::act(const std::vector<PeerAction> &Actions) {
  for (const auto &One : Actions) {
    std::visit([this](const auto &What) { act(What); }, One);
  }
}

void PeerService::act(const PeerSend &One) {
  if (!Hub.send(One.To, encode(One.What))) {
    Host.metrics().count("peer_sends_refused_total");
  }
}

void PeerService::act(const PeerReject &One) {
  Host.metrics().count("peer_rejects_total");
  log(LogLevel::Warn, "peer.rejected", {{"cause", One.Cause}});
  Hub.close(One.Which);
}

void PeerService::act(const PeerAdopt &One) {
  try {
    if (One.What.Stream == "config") {
      Host.service<CatalogService>().adopt(One.What.Saved);
    } else if (One.What.Stream == "rollout") {
      Host.service<RolloutService>().adopt(One.What.Saved);
    }
    Host.metrics().count("peer_states_taken_total");
  } catch (const std::invalid_argument &Failure) {
    Host.metrics().count("peer_rejects_total");
    log(LogLevel::Warn, "peer.rejected", {{"cause", Failure.what()}});
  }
}

void PeerService::act(const PeerHelp &One) {
  const bool Config = One.Stream == "config";
  auto Saved = Config ? Host.service<CatalogService>().catalog().save()
                      : Host.service<RolloutService>().moveTable().save();
  act(PeerSend{One.To, PeerState{One.Stream, std::move(Saved)}});
}

} // namespace goldcrestnotch
