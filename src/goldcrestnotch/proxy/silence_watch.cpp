/// @file
/// Implementation of the watch with a timer.

#include "goldcrestnotch/proxy/silence_watch.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestnotch::proxy {

namespace internal {

/// Silence after which a target may be left.
static constexpr Millis SilenceTimeout{1'600};
/// Interval between two checks of a target that can't be left yet.
static constexpr Millis RecheckInterval{50};

} // namespace internal

class SilenceWatch::State : public std::enable_shared_from_this<State> {
public:
  State(boost::asio::io_context &Loop,
        std::shared_ptr<TargetConnection> Connection,
        std::function<bool()> OnSilence, const LoopDelay &Delay)
      : Timer{Loop}, Connection{std::move(Connection)},
        OnSilence{std::move(OnSilence)}, Delay{Delay} {}

  void begin(Instant SilentSince) noexcept {
    Deadline = SilentSince + internal::SilenceTimeout;
    StallsBefore = Delay.totalStall();
  }

  void awaitDeadline(Instant Next) {
    Due = Next;
    Timer.expires_at(toSteadyTime(Next));
    Timer.async_wait(
        [Self = shared_from_this()](const boost::system::error_code &Failure) {
          if (!Failure && Self->Active) {
            Self->check(DecisionClock::now());
          }
        });
  }

  void end() {
    Active = false;
    Timer.cancel();
  }

  Instant Deadline = Instant::max(); ///< Of the read in progress, if any.
  bool Left = false;

private:
  void check(Instant Now) {
    if (Deadline != Instant::max()) {
      // The check may run before the stall is known to the loop.
      const auto Stalls = std::exchange(StallsBefore, Delay.totalStall());
      Deadline += std::max(Delay.totalStall() - Stalls, Now - Due);
    }
    boost::system::error_code Failure;
    if (Now < Deadline || Connection->Socket.socket().available(Failure) > 0) {
      awaitDeadline(
          std::min(std::max(Deadline, Now + internal::RecheckInterval),
                   Now + internal::SilenceTimeout));
    } else if (OnSilence()) {
      Left = true;
      Connection->Socket.cancel();
    } else {
      awaitDeadline(Now + internal::RecheckInterval);
    }
  }

  boost::asio::steady_timer Timer;
  std::shared_ptr<TargetConnection> Connection;
  std::function<bool()> OnSilence;
  const LoopDelay &Delay;
  Millis StallsBefore{0}; ///< Those that `Deadline` allows for.
  Instant Due{};          ///< Of the next check.
  bool Active = true;
};

SilenceWatch::SilenceWatch(boost::asio::io_context &Loop,
                           std::shared_ptr<TargetConnection> Connection,
                           std::function<bool()> OnSilence,
                           const LoopDelay &Delay, Instant SilentSince)
    : Watched{std::make_shared<State>(Loop, std::move(Connection),
                                      std::move(OnSilence), Delay)} {
  Watched->awaitDeadline(
      std::max(SilentSince + internal::SilenceTimeout,
               DecisionClock::now() + internal::RecheckInterval));
}

SilenceWatch::~SilenceWatch() { Watched->end(); }

void SilenceWatch::beginRead(Instant SilentSince) noexcept {
  Watched->begin(SilentSince);
}

void SilenceWatch::endRead() noexcept { Watched->Deadline = Instant::max(); }

bool SilenceWatch::left() const noexcept { return Watched->Left; }

void SilenceWatch::resume(Instant Now) {
  Watched->Left = false;
  Watched->awaitDeadline(Now + internal::SilenceTimeout);
}

} // namespace goldcrestnotch::proxy
