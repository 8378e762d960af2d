/// @file
/// Signal handlers that take the time and call the handlers before them.

#include "goldcrestnotch/kernel/signal_time.hpp"

#include <array>
#include <atomic>
#include <csignal>

namespace goldcrestnotch {

namespace internal {

using Handler = void (*)(int);

static constexpr std::array StopSignals{SIGTERM, SIGINT};

static std::atomic<Instant::rep> FirstArrival{0}; ///< Zero if there was none.
/// Written before the handlers are installed that read it.
static std::array<Handler, StopSignals.size()> NextHandlers{};

static_assert(std::atomic<Instant::rep>::is_always_lock_free,
              "a signal handler may only use lock-free atomics");

static void recordArrival(int Number) {
  auto None = Instant::rep{0};
  FirstArrival.compare_exchange_strong(
      None, DecisionClock::now().time_since_epoch().count());
  const auto Next = NextHandlers[Number == StopSignals.front() ? 0 : 1];
  if (Next != nullptr && Next != SIG_DFL && Next != SIG_IGN) {
    Next(Number);
  }
}

} // namespace internal

void recordStopSignal() noexcept {
  for (std::size_t I = 0; I < internal::StopSignals.size(); ++I) {
    struct sigaction Action {};
    if (::sigaction(internal::StopSignals[I], nullptr, &Action) != 0 ||
        Action.sa_handler == &internal::recordArrival) {
      continue;
    }
    internal::NextHandlers[I] = Action.sa_handler;
    Action.sa_handler = &internal::recordArrival;
    // Without it the time counts from the handling of the signal.
    (void)::sigaction(internal::StopSignals[I], &Action, nullptr);
  }
}

Instant stopSignalTime() noexcept {
  const auto Arrival = internal::FirstArrival.load();
  return Arrival == 0 ? DecisionClock::now() : Instant{Millis{Arrival}};
}

} // namespace goldcrestnotch
