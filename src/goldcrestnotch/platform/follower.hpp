/// @file
/// Keeps a state up to date with a stream of the log: restores the latest
/// snapshot, applies records in order, and restores again if records that it
/// still needs have been trimmed.

#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/platform/log_client.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch {

/// @brief Callbacks of a follower, called on the control thread.
struct FollowerCallbacks {
  /// The state has changed, or has reached the end of the stream for the first
  /// time.
  std::function<void()> OnChange;
  /// A record or a snapshot is malformed and has been skipped.
  std::function<void(const LogRecord &)> OnMalformed;
};

/// @brief Follows one stream on the control thread.
/// @tparam StateType The state that the records build up; has `skip`, `next`,
/// `save` and `load`.
template <typename StateType> class Follower {
public:
  using Apply = std::function<void(StateType &, const LogRecord &)>;

  /// @param Control Context of the control thread.
  /// @param Log Client of the log service.
  /// @param Stream Name of the stream.
  /// @param ApplyRecord Applies a record to the state; throws
  /// std::invalid_argument if the record is malformed.
  /// @param Callbacks Called when the state changes or a record is malformed.
  Follower(boost::asio::io_context &Control, LogClient Log, std::string Stream,
           Apply ApplyRecord, FollowerCallbacks Callbacks)
      : Control{Control}, Log{std::move(Log)}, Stream{std::move(Stream)},
        ApplyRecord{std::move(ApplyRecord)}, Callbacks{std::move(Callbacks)} {}

  /// @brief The state after the records applied so far.
  [[nodiscard]] const StateType &state() const noexcept { return State; }
  /// @brief Whether the state has reached the end of the stream at least once,
  /// or has been adopted from a peer.
  [[nodiscard]] bool ready() const noexcept { return Ready; }
  /// @brief Whether the last call to the log service succeeded.
  [[nodiscard]] bool connected() const noexcept { return Connected; }
  [[nodiscard]] const std::string &stream() const noexcept { return Stream; }

  /// @brief Starts to follow the stream; the follower must outlive `Control`'s
  /// run.
  void start() {
    boost::asio::spawn(
        Control, [this](boost::asio::yield_context Yield) { run(Yield); });
  }

  /// @brief Replaces the state by that of a peer if the latter is newer or this
  /// follower is not ready.
  /// @param Saved The saved state of the peer.
  /// @throws std::invalid_argument if the text is not a saved state.
  void adopt(const std::string &Saved) {
    auto PeerState = StateType::load(Saved);
    if (PeerState.next() > State.next() || !Ready) {
      State = std::move(PeerState);
      Ready = true;
      Callbacks.OnChange();
    }
  }

  /// @brief Appends the state to the snapshot stream.
  /// @throws Error if the append fails; it may have taken effect nevertheless.
  void snapshot(boost::asio::yield_context Yield) {
    const auto Deadline = DecisionClock::now() + CallTimeout;
    (void)Log.append(Yield, Stream + ".snapshots", State.save(), Deadline);
  }

private:
  static constexpr Millis CallTimeout{5'000};
  static constexpr Millis MaxPollWait{10'000};
  static constexpr Millis RetryDelay{200};

  /// @brief Restores and polls until the process ends, and retries failures.
  void run(boost::asio::yield_context Yield) {
    boost::asio::steady_timer Timer{Control};
    bool Restored = false;
    while (true) {
      try {
        if (!Restored) {
          restore(Yield);
          Restored = true;
        }
        poll(Yield);
        Connected = true;
        continue;
      } catch (const TrimmedError &Exception) {
        log(LogLevel::Warn, "log.trimmed",
            {{"stream", Stream},
             {"first", static_cast<std::int64_t>(Exception.FirstOffset)}});
        Restored = false;
      } catch (const Error &Exception) {
        if (Connected) {
          log(LogLevel::Warn, "log.unreachable",
              {{"stream", Stream}, {"cause", Exception.what()}});
        }
      }
      Connected = false;
      Timer.expires_after(RetryDelay);
      Timer.async_wait(Yield);
    }
  }

  /// @brief Loads the latest snapshot if it is newer than the state.
  void restore(boost::asio::yield_context Yield) {
    const auto Deadline = DecisionClock::now() + CallTimeout;
    const auto Snapshot = Log.last(Yield, Stream + ".snapshots", Deadline);
    if (!Snapshot) {
      return;
    }
    try {
      auto SavedState = StateType::load(Snapshot->Body);
      if (SavedState.next() > State.next()) {
        State = std::move(SavedState);
      }
    } catch (const std::invalid_argument &) {
      Callbacks.OnMalformed(*Snapshot);
    }
  }

  /// @brief Reads one page of records and applies it.
  /// @details The call waits for new records only after the end of the stream
  /// has been reached once.
  void poll(boost::asio::yield_context Yield) {
    const auto Wait = Ready ? MaxPollWait : Millis{0};
    const auto Deadline = DecisionClock::now() + CallTimeout + Wait;
    const auto Page = Log.read(Yield, Stream, State.next(), Wait, Deadline);
    for (const auto &Record : Page.Records) {
      try {
        ApplyRecord(State, Record);
      } catch (const std::invalid_argument &) {
        Callbacks.OnMalformed(Record);
        State.skip(Record.Offset);
      }
    }
    const bool AtEnd = State.next() >= Page.End;
    const bool BecameReady = AtEnd && !Ready;
    Ready = Ready || AtEnd;
    if (BecameReady || !Page.Records.empty()) {
      Callbacks.OnChange();
    }
  }

  boost::asio::io_context &Control;
  LogClient Log;
  std::string Stream;
  Apply ApplyRecord;
  FollowerCallbacks Callbacks;
  StateType State;
  bool Ready = false;
  bool Connected = false;
};

} // namespace goldcrestnotch
