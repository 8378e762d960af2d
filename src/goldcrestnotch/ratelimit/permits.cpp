/// @file
/// Implementation of the permits over UDP.

#include "goldcrestnotch/ratelimit/permits.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

#include <boost/asio/buffer.hpp>

#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/ratelimit/request_backoff.hpp"
#include "goldcrestnotch/roster/udp_endpoints.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch::ratelimit {

namespace asio = boost::asio;
using asio::ip::udp;

namespace internal {

/// Time for the response of an issuer: a round trip between failure domains and
/// the delay of two busy loops.
static constexpr Millis ResponseTimeout{40};
/// An issuer that did not respond is not asked for this long.
static constexpr Millis SilenceBackoff{500};
/// Delay stated to a VM that asks one which is no issuer of the target.
static constexpr Millis NoIssuerWait{300};
/// Interval at which an issuer repeats the limits of its targets.
static constexpr Millis NoticeInterval{2'000};
/// A changed limit is announced if it differs by more than this fraction.
static constexpr double AnnouncedChange = 0.1;

[[nodiscard]] static bool
differs(const std::optional<RequestRate> &Before,
        const std::optional<RequestRate> &After) noexcept {
  if (!Before || !After) {
    return Before.has_value() != After.has_value();
  }
  return std::abs(After->perSecond() - Before->perSecond()) >
         AnnouncedChange * Before->perSecond();
}

/// @return Nothing if a record of another VM states no valid address.
[[nodiscard]] static std::optional<udp::endpoint>
datagramEndpoint(const std::string &ControlAddress, std::uint16_t Port) {
  try {
    const auto Host = http::Endpoint::parse(ControlAddress).Address;
    const auto Endpoints = roster::udpEndpoints({Host}, Port);
    return Endpoints.empty() ? std::nullopt : std::optional{Endpoints.front()};
  } catch (const std::invalid_argument &Failure) {
    log(LogLevel::Warn, "permit.issuer_unreadable",
        {{"address", ControlAddress}, {"cause", std::string{Failure.what()}}});
    return std::nullopt;
  }
}

} // namespace internal

Permits::Permits(asio::io_context &Loop, const http::Endpoint &Listen,
                 backend::TargetSet &Targets, Issuers &TargetIssuers,
                 Metrics &Counters)
    : Loop{Loop}, Socket{Loop,
                         udp::endpoint{asio::ip::make_address(Listen.Address),
                                       Listen.Port}},
      Port{Socket.local_endpoint().port()}, Targets{Targets},
      TargetIssuers{TargetIssuers}, Counters{Counters} {
  Socket.non_blocking(true);
}

void Permits::start(Instant IssueFrom) {
  IssueDeadline = IssueFrom;
  receive();
}

void Permits::updatePeers(const std::vector<std::string> &Addresses) {
  Peers = roster::udpEndpoints(Addresses, Port);
}

Permit Permits::acquire(asio::yield_context Yield, backend::Target &Target,
                        Millis MaxWait) {
  const auto &Name = Target.Registered.Name;
  const auto Limit = *Target.RateLimit;
  const bool AskAll = MaxWait > Millis{0};
  Permit Best{false, Millis::max()};
  if (issues(Name)) {
    Best = issue(DecisionClock::now(), Name, Limit, MaxWait);
  }
  // A copy, since the roster may change during a wait.
  const auto Others = TargetIssuers.otherHomes(Name);
  for (const auto &Address : Others) {
    if (!Target.RateLimit) {
      return {true, Millis{0}}; // The limit was revoked during a wait.
    }
    if (Best.Granted || (!AskAll && Best.Wait != Millis::max())) {
      break;
    }
    if (const auto Response = ask(Yield, Address, Name, Limit, MaxWait)) {
      Best = Response->Granted
                 ? *Response
                 : Permit{false, std::min(Best.Wait, Response->Wait)};
    }
  }
  Best.Wait = Best.Wait == Millis::max() ? internal::NoIssuerWait : Best.Wait;
  if (Best.Granted) {
    Counters.count("permits_total{outcome=\"granted\"}");
    return Best;
  }
  Counters.count("permits_total{outcome=\"refused\"}");
  Target.PermitRetry =
      DecisionClock::now() +
      requestBackoff(Limit, Peers.size() + 1,
                     std::uniform_real_distribution<double>{}(Random));
  return Best;
}

bool Permits::issues(const TargetId &Name) {
  return DecisionClock::now() >= IssueDeadline && TargetIssuers.isHome(Name);
}

Permit Permits::issue(Instant Now, const TargetId &Name, RequestRate Limit,
                      Millis MaxWait) {
  const auto IssuerCount = TargetIssuers.otherHomes(Name).size() + 1;
  return Issuer.issue(
      Now, hashOf(Name.str()),
      RequestRate{Limit.perSecond() / static_cast<double>(IssuerCount)},
      MaxWait);
}

std::optional<Permit> Permits::ask(asio::yield_context Yield,
                                   const std::string &ControlAddress,
                                   const TargetId &Name, RequestRate Limit,
                                   Millis MaxWait) {
  const auto Now = DecisionClock::now();
  const auto Silent = SilentUntil.find(ControlAddress);
  if (Silent != SilentUntil.end() && Now < Silent->second) {
    return std::nullopt;
  }
  const auto To = internal::datagramEndpoint(ControlAddress, Port);
  if (!To) {
    return std::nullopt;
  }
  PendingRequest Request{asio::steady_timer{Loop}, std::nullopt};
  const auto Nonce = Random();
  Pending.emplace(Nonce, &Request);
  // Also runs if the coroutine is destroyed during the wait.
  const std::unique_ptr<PendingRequest, std::function<void(PendingRequest *)>>
      Registration{&Request, [&](PendingRequest *) { Pending.erase(Nonce); }};
  send(PermitRequest{Nonce, hashOf(Name.str()), Limit, MaxWait}, *To);
  Request.Timer.expires_after(internal::ResponseTimeout);
  boost::system::error_code Cancelled; // Set by the arrival of the response.
  Request.Timer.async_wait(Yield[Cancelled]);
  if (!Request.Result) {
    Counters.count("permits_total{outcome=\"silent_issuer\"}");
    SilentUntil[ControlAddress] =
        DecisionClock::now() + internal::SilenceBackoff;
  }
  return Request.Result;
}

void Permits::observe(backend::Target &Target,
                      std::optional<RequestRate> Stated, Instant Sent) {
  if (!Stated && (!Target.RateLimit || Sent <= Target.RateLimitLearned)) {
    return;
  }
  if (Stated) {
    Counters.count("limited_target_requests_total");
  }
  const bool Announce = internal::differs(Target.RateLimit, Stated);
  apply(Target, Stated, "target");
  if (Announce) {
    announce(Target);
  }
}

void Permits::apply(backend::Target &Target, std::optional<RequestRate> Limit,
                    const char *Source) {
  if (Limit.has_value() != Target.RateLimit.has_value()) {
    log(LogLevel::Info, Limit ? "target.limited" : "target.unlimited",
        {{"target", Target.Registered.Name.str()},
         {"per_second", Limit ? Limit->perSecond() : 0.0},
         {"source", std::string{Source}},
         {"sent_while_limited",
          static_cast<std::int64_t>(Target.SentWhileLimited)}});
    Target.SentWhileLimited = 0;
    Target.RateLimitLearned = DecisionClock::now();
  }
  if (internal::differs(Target.RateLimit, Limit)) {
    Target.PermitRetry = Instant{}; // It follows from the limit before.
  }
  Target.RateLimit = Limit;
}

void Permits::announce(const backend::Target &Target) {
  const Message Notice =
      LimitNotice{hashOf(Target.Registered.Name.str()), Target.RateLimit};
  for (const auto &Peer : Peers) {
    send(Notice, Peer);
  }
}

void Permits::maintain(Instant Now) {
  if (Now < NextNotice) {
    return;
  }
  NextNotice = Now + internal::NoticeInterval;
  Issuer.expire(Now);
  std::erase_if(SilentUntil,
                [&](const auto &Entry) { return Entry.second <= Now; });
  const auto Limited = Targets.limitedTargets();
  Counters.set("limited_targets", static_cast<double>(Limited.size()));
  for (const auto &Target : Limited) {
    if (issues(Target->Registered.Name)) {
      announce(*Target);
    }
  }
}

void Permits::send(const Message &Content, const UdpEndpoint &To) {
  const auto Bytes = encode(Content);
  // A datagram that can't be sent counts as lost.
  boost::system::error_code Ignored;
  Socket.send_to(asio::buffer(Bytes), To, 0, Ignored);
}

void Permits::receive() {
  Socket.async_receive_from(
      asio::buffer(Incoming), Sender,
      [this](const boost::system::error_code &Failure, std::size_t ByteCount) {
        if (Failure == asio::error::operation_aborted) {
          return;
        }
        if (!Failure) {
          if (const auto Content =
                  decodeMessage(std::span{Incoming}.first(ByteCount))) {
            std::visit([this](const auto &Typed) { handle(Typed); }, *Content);
          } else {
            Counters.count("permits_total{outcome=\"unreadable\"}");
          }
        }
        receive();
      });
}

void Permits::handle(const PermitRequest &Request) {
  const auto Now = DecisionClock::now();
  const auto Target = Targets.find(Request.TargetHash);
  Permit Result{false, internal::NoIssuerWait};
  if (Target && issues(Target->Registered.Name)) {
    Result =
        issue(Now, Target->Registered.Name, Request.Limit, Request.MaxWait);
  }
  send(PermitResponse{Request.Nonce, Result}, Sender);
}

void Permits::handle(const PermitResponse &Response) {
  const auto It = Pending.find(Response.Nonce);
  if (It != Pending.end()) { // Otherwise the request has timed out.
    It->second->Result = Response.Result;
    It->second->Timer.cancel();
  }
}

void Permits::handle(const LimitNotice &Notice) {
  if (const auto Target = Targets.find(Notice.TargetHash)) {
    apply(*Target, Notice.Limit, "vm");
  }
}

} // namespace goldcrestnotch::ratelimit
