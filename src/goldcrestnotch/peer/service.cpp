/// @file
/// The plug-in that exchanges configuration snapshots with other VMs.

#include "goldcrestnotch/peer/service.hpp"

#include <algorithm>

#include <boost/asio/steady_timer.hpp>

#include "goldcrestnotch/catalog/service.hpp"
#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/membership/membership.hpp"
#include "goldcrestnotch/rollout/service.hpp"

namespace goldcrestnotch {

namespace internal {

static constexpr Millis DigestInterval{500};
static constexpr std::size_t ConnectionsPerVm = 3;
static constexpr std::size_t NonceBytes = 16;
static const RegisterPlugin<PeerService> Registered{Stage::Traffic, "peer"};

} // namespace internal

PeerService::PeerService(Kernel &Host)
    : Host{Host}, Protocol{Host.self().Vm, Host.settings().PeerKey},
      Transport{
          Host.control(),
          PeerCallbacks{
              [this](PeerHandle Handle, bool) {
                perform(Protocol.open(Handle, randomHex(internal::NonceBytes)));
              },
              [this](PeerHandle From, const std::string &Bytes) {
                perform(Protocol.receive(DecisionClock::now(), From, Bytes));
              },
              [this](PeerHandle Handle) {
                Protocol.close(Handle);
                std::erase_if(OutgoingConnections, [Handle](const auto &Entry) {
                  return Entry.second == Handle;
                });
              }}} {}

void PeerService::start() {
  const auto &ListenEndpoint = Host.settings().Peer;
  const auto Port =
      Transport.listen(ListenEndpoint.Address, ListenEndpoint.Port);
  log(LogLevel::Info, "peer.listening",
      {{"peer", ListenEndpoint.Address + ":" + std::to_string(Port)}});
  boost::asio::spawn(Host.control(),
                     [this](boost::asio::yield_context Yield) { run(Yield); });
}

void PeerService::run(boost::asio::yield_context Yield) {
  boost::asio::steady_timer Timer{Host.control()};
  while (true) {
    Timer.expires_after(internal::DigestInterval);
    Timer.async_wait(Yield);
    connect();
    perform(Protocol.broadcastDigest(
        PeerDigest{Host.service<CatalogService>().catalog().next(),
                   Host.service<RolloutService>().moveTable().next()}));
    Host.metrics().set("peers",
                       static_cast<double>(Protocol.authenticatedCount()));
  }
}

void PeerService::connect() {
  const auto &View = Host.service<Membership>().view();
  const auto Ranked = View.ranked("peers/" + Host.self().Vm.str());
  std::size_t Remaining = internal::ConnectionsPerVm;
  for (const auto &Candidate : Ranked) {
    if (Remaining == 0) {
      return;
    }
    if (Candidate.Name == Host.self().Vm) {
      continue;
    }
    --Remaining;
    if (!OutgoingConnections.contains(Candidate.Name) &&
        !Protocol.isAuthenticated(Candidate.Name)) {
      OutgoingConnections[Candidate.Name] =
          Transport.connect(Candidate.Peer.Address, Candidate.Peer.Port);
    }
  }
}

void PeerService::perform(const std::vector<PeerAction> &Actions) {
  for (const auto &Action : Actions) {
    std::visit([this](const auto &Typed) { perform(Typed); }, Action);
  }
}

void PeerService::perform(const PeerSend &Action) {
  if (!Transport.send(Action.To, encode(Action.Message))) {
    Host.metrics().count("peer_sends_refused_total");
  }
}

void PeerService::perform(const PeerReject &Action) {
  Host.metrics().count("peer_rejects_total");
  log(LogLevel::Warn, "peer.rejected", {{"cause", Action.Cause}});
  Transport.close(Action.Handle);
}

void PeerService::perform(const PeerApplySnapshot &Action) {
  try {
    if (Action.Snapshot.Stream == "config") {
      Host.service<CatalogService>().adopt(Action.Snapshot.Data);
    } else if (Action.Snapshot.Stream == "rollout") {
      Host.service<RolloutService>().adopt(Action.Snapshot.Data);
    }
    Host.metrics().count("peer_states_taken_total");
  } catch (const std::invalid_argument &Failure) {
    Host.metrics().count("peer_rejects_total");
    log(LogLevel::Warn, "peer.rejected", {{"cause", Failure.what()}});
  }
}

void PeerService::perform(const PeerSendSnapshot &Action) {
  const bool IsConfig = Action.Stream == "config";
  auto Snapshot = IsConfig ? Host.service<CatalogService>().catalog().save()
                           : Host.service<RolloutService>().moveTable().save();
  perform(
      PeerSend{Action.To, PeerSnapshot{Action.Stream, std::move(Snapshot)}});
}

} // namespace goldcrestnotch
