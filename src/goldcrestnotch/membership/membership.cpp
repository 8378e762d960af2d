/// @file
/// Implements the membership plug-in.

#include "goldcrestnotch/membership/membership.hpp"

#include <boost/asio/steady_timer.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/client.hpp"

namespace goldcrestnotch {

namespace internal {

static constexpr Millis PollInterval{1'000};
static constexpr Millis PollTimeout{3'000};
static constexpr int ExitNotListed = 4;
static const RegisterPlugin<Membership> Registered{Stage::Platform,
                                                   "membership"};

} // namespace internal

Membership::Membership(Kernel &Host) : Host{Host} { Host.emplace(*this); }

void Membership::confirmListed(Instant ListedAt) {
  ServeDeadline = ListedAt + Host.settings().GoneAfter * 9 / 10;
}

void Membership::start() {
  confirmListed(DecisionClock::now());
  FleetView.watch(Host.self().Vm);
  boost::asio::spawn(Host.control(), [this](boost::asio::yield_context Yield) {
    pollLoop(Yield);
  });
}

void Membership::pollLoop(boost::asio::yield_context Yield) {
  boost::asio::steady_timer Timer{Host.control()};
  while (true) {
    try {
      pollLiveList(Yield);
      checkOwnEntry();
    } catch (const std::exception &Failure) {
      FleetView.recordFailure();
      Host.metrics().count("live_list_failures_total");
      log(LogLevel::Debug, "live_list.failed", {{"cause", Failure.what()}});
    }
    Timer.expires_after(internal::PollInterval);
    Timer.async_wait(Yield);
  }
}

void Membership::pollLiveList(boost::asio::yield_context Yield) {
  http::Request Request;
  Request.Path = "/v1/vms";
  const auto Start = DecisionClock::now();
  const auto Deadline = Start + internal::PollTimeout;
  const auto Response =
      http::Client{Yield, Host.settings().Platform}.send(Request, Deadline);
  if (Response.Status != 200) {
    throw Error{503, "live_list_unavailable",
                "the request for the live list returned status " +
                    std::to_string(Response.Status)};
  }
  FleetView.update(DecisionClock::now(), decodeLiveList(Response.Body));
  if (FleetView.vms().contains(Host.self().Vm)) {
    confirmListed(Start);
  }
  std::atomic_store(&Snapshot,
                    std::shared_ptr<const MembershipView>{
                        std::make_shared<MembershipView>(FleetView)});
  Host.metrics().set("live_vms", static_cast<double>(FleetView.vms().size()));
}

void Membership::checkOwnEntry() {
  const auto MissingFor = FleetView.missingFor(Host.self().Vm);
  if (MissingFor >= Host.settings().GoneAfter / 2) {
    log(LogLevel::Error, "vm.off_live_list");
    Host.stop(internal::ExitNotListed);
  }
}

} // namespace goldcrestnotch
