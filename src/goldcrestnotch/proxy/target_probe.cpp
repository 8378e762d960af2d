/// @file
/// Probing of targets.

#include "goldcrestnotch/proxy/target_probe.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch::proxy {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace internal {

/// A machine that does not answer for this long is down or cut off.
static constexpr Millis ProbeTimeout{700};
static constexpr Millis ProbeInterval{2'000};
/// A loop that is late by more can't tell whether a connection hangs.
static constexpr Millis MaxProbeLoopDelay{100};

} // namespace internal

void TargetProbe::probe(const backend::Registration &Target) {
  const auto Now = DecisionClock::now();
  std::erase_if(NextProbes,
                [&](const auto &Entry) { return Now >= Entry.second; });
  if (NextProbes
          .try_emplace({Target.Name, Target.Incarnation},
                       Now + internal::ProbeInterval)
          .second) {
    asio::spawn(Context.Loop, [this, Target](asio::yield_context Yield) {
      connect(Yield, Target);
    });
  }
}

void TargetProbe::connect(asio::yield_context Yield,
                          const backend::Registration &Target) {
  Context.Measured.count("target_probes_total");
  TcpStream Connection{Context.Loop};
  boost::system::error_code Failure;
  const auto Address = asio::ip::make_address(Target.Endpoint.Address, Failure);
  if (Failure) {
    return; // No request can have been sent to it.
  }
  const auto Deadline = DecisionClock::now() + internal::ProbeTimeout;
  Connection.expires_at(toSteadyTime(Deadline));
  Connection.async_connect(tcp::endpoint{Address, Target.Endpoint.Port},
                           Yield[Failure]);
  const auto Now = DecisionClock::now();
  if (Failure == asio::error::connection_refused) {
    Context.Quarantine.reportEnd(Now, Target,
                                 notices::EndSign::RefusesConnections);
  } else if (Failure == boost::beast::error::timeout &&
             Now - Deadline <= internal::MaxProbeLoopDelay) {
    Context.Quarantine.reportEnd(Now, Target, notices::EndSign::Unreachable);
  }
}

} // namespace goldcrestnotch::proxy
