/// @file
/// The membership plug-in.

#include "goldcrestnotch/membership/membership.hpp"

#include <boost/asio/steady_timer.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/client.hpp"

namespace goldcrestnotch {

namespace internal {

static constexpr Millis PollEvery{1'000};
static constexpr Millis PollLimit{3'000};
static constexpr int ExitOffList = 4;
static const RegisterPlugin<Membership> Registered{Stage::Platform,
                                                   "membership"};

} // namespace internal

Membership::Membership(Kernel &Host) : Host{Host} { Host.emplace(*this); }

void Membership::confirm(Instant Then) {
  ServeDeadline = Then + Host.settings().GoneAfter * 9 / 10;
}

void Membership::start() {
  confirm(DecisionClock::now());
  Current.watch(Host.self().Vm);
  boost::asio::spawn(Host.control(),
                     [this](boost::asio::yield_context Yield) { run(Yield); });
}

void Membership::run(boost::asio::yield_context Yield) {
  boost::asio::steady_timer Timer{Host.control()};
  while (true) {
    try {
      poll(Yield);
      checkSelf();
    } catch (const std::exception &Failure) {
      Current.fail();
      Host.metrics().count("live_list_failures_total");
      log(LogLevel::Debug, "live_list.failed", {{"cause", Failure.what()}});
    }
    Timer.expires_after(internal::PollEvery);
    Timer.async_wait(Yield);
  }
}

void Membership::poll(boost::asio::yield_context Yield) {
  http::Request Asked;
  Asked.Path = "/v1/vms";
  const auto Begun = DecisionClock::now();
  const auto Until = Begun + internal::PollLimit;
  const auto Answer =
      http::Client{Yield, Host.settings().Platform}.send(Asked, Until);
  if (Answer.Status != 200) {
    throw Error{503, "live_list_unavailable",
                "the live list answered " + std::to_string(Answer.Status)};
  }
  Current.update(DecisionClock::now(), decodeLiveList(Answer.Body));
  if (Current.vms().contains(Host.self().Vm)) {
    confirm(Begun);
  }
  std::atomic_store(&Shared, std::shared_ptr<const MembershipView>{
                                 std::make_shared<MembershipView>(Current)});
  Host.metrics().set("live_vms", static_cast<double>(Current.vms().size()));
}

void Membership::checkSelf() {
  const auto Span = Current.missing(Host.self().Vm);
  if (Span >= Host.settings().GoneAfter / 2) {
    log(LogLevel::Error, "vm.off_live_list");
    Host.stop(internal::ExitOffList);
  }
}

} // namespace goldcrestnotch
