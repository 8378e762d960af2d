/// @file
/// Limits the time of an operation on a stream in a way that allows for an
/// event loop that is late.

#pragma once

#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch::http {

/// @brief Closes a stream at a deadline, which ends its operations.
///
/// A turn of the loop finds a limited number of sockets that are ready, but all
/// timers that have expired. After a long turn, a stream would be closed whose
/// bytes arrived in time and wait to be read. So a second timer closes it. The
/// kernel reports what is ready in the order in which it became so, and the
/// second timer after what was ready at the first one.
///
/// Unlike the timer of a Beast stream, it also ends a series of operations none
/// of which waits. It is used on the executor of the stream only.
template <typename Stream> class StreamTimeout {
public:
  explicit StreamTimeout(Stream &Watched)
      : Shared{std::make_shared<State>(Watched)} {}
  ~StreamTimeout() { Shared->end(); }
  StreamTimeout(const StreamTimeout &) = delete;
  StreamTimeout &operator=(const StreamTimeout &) = delete;

  /// @brief Sets the deadline; the one before no longer holds.
  void expiresAt(Instant Deadline) { Shared->begin(Deadline); }
  /// @brief Removes the deadline.
  void expiresNever() { Shared->end(); }
  /// @brief Whether the stream was closed at a deadline.
  [[nodiscard]] bool expired() const noexcept { return Shared->expired(); }

private:
  /// Time between the two timers. Callers learn of a deadline that passed by a
  /// response that must reach them in time.
  static constexpr Millis ConfirmationDelay{1};

  /// @brief Outlives the timeout while the handler of its timer is queued.
  class State : public std::enable_shared_from_this<State> {
  public:
    explicit State(Stream &Watched)
        : Timer{Watched.get_executor()}, Watched{Watched} {}

    void begin(Instant Limit) {
      Deadline = Limit;
      Confirming = false;
      await(Limit);
    }
    void end() {
      Deadline = Instant::max();
      Timer.cancel();
    }
    [[nodiscard]] bool expired() const noexcept { return Expired; }

  private:
    void await(Instant Next) {
      Timer.expires_at(toSteadyTime(Next));
      Timer.async_wait([Self = this->shared_from_this()](
                           const boost::system::error_code &Failure) {
        if (!Failure) {
          Self->expire(DecisionClock::now());
        }
      });
    }
    void expire(Instant Now) {
      if (Now < Deadline) {
        return; // Its handler was queued when the deadline was moved.
      }
      if (!std::exchange(Confirming, true)) {
        await(Now + ConfirmationDelay);
        return;
      }
      Expired = true;
      Watched.close();
    }

    boost::asio::steady_timer Timer;
    Stream &Watched; ///< Destroyed only after `end`.
    Instant Deadline = Instant::max();
    bool Confirming = false; ///< The first timer has expired.
    bool Expired = false;    ///< The second one, too.
  };

  std::shared_ptr<State> Shared;
};

} // namespace goldcrestnotch::http
