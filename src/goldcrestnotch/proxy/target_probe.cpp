/// @file
/// Probing of targets.

#include "goldcrestnotch/proxy/target_probe.hpp"

#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/proxy/target_paths.hpp"

namespace goldcrestnotch::proxy {

namespace asio = boost::asio;

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
  const auto Deadline = DecisionClock::now() + internal::ProbeTimeout;
  const auto Known = Context.Paths->verify(Yield, Target, Deadline);
  const auto Now = DecisionClock::now();
  if (Known == TargetState::Silent &&
      Now - Deadline <= internal::MaxProbeLoopDelay) {
    Context.Quarantine.reportEnd(Now, Target, notices::EndSign::Unreachable);
  }
}

} // namespace goldcrestnotch::proxy
