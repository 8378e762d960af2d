/// @file
/// Keeps a fold at the end of a log stream: restores the newest snapshot,
/// applies records in order, and starts over where records were trimmed.

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

/// @brief What is told of a follower's stream.
struct FollowerCallbacks {
  std::function<void()> Changed;              ///< Records were applied.
  std::function<void(const LogRecord &)> Bad; ///< A record can't be read.
};

/// @brief Follows one stream on the control thread.
/// @tparam Fold Has `apply`, `skip`, `next`, `save` and `load`.
template <typename Fold> class Follower {
public:
  using Apply = std::function<void(Fold &, const LogRecord &)>;

  Follower(boost::asio::io_context &Control, LogClient Log, std::string Stream,
           Apply Step, FollowerCallbacks Hooks)
      : Control{Control}, Log{std::move(Log)}, Stream{std::move(Stream)},
        Step{std::move(Step)}, Hooks{std::move(Hooks)} {}

  [[nodiscard]] const Fold &state() const noexcept { return State; }
  /// @brief Whether the fold has reached the stream's end once.
  [[nodiscard]] bool ready() const noexcept { return Ready; }
  /// @brief Whether the last call to the log was answered.
  [[nodiscard]] bool connected() const noexcept { return Connected; }
  [[nodiscard]] const std::string &stream() const noexcept { return Stream; }

  void start() {
    boost::asio::spawn(
        Control, [this](boost::asio::yield_context Yield) { run(Yield); });
  }

  /// @brief Takes a newer state that a peer has.
  /// @throws std::invalid_argument if the text is no saved state.
  void adopt(const std::string &Saved) {
    auto Theirs = Fold::load(Saved);
    if (Theirs.next() > State.next() || !Ready) {
      State = std::move(Theirs);
      Ready = true;
      Hooks.Changed();
    }
  }

  /// @brief Appends the state to the stream's snapshots.
  void snapshot(boost::asio::yield_context Yield) {
    const auto Until = DecisionClock::now() + CallLimit;
    (void)Log.append(Yield, Stream + ".snapshots", State.save(), Until);
  }

private:
  static constexpr Millis CallLimit{5'000};
  static constexpr Millis PollWait{10'000};
  static constexpr Millis RetryWait{200};

  void run(boost::asio::yield_context Yield) {
    boost::asio::steady_timer Timer{Control};
    bool Restored = false;
    while (true) {
      try {
        if (!Restored) {
          restore(Yield);
          Restored = true;
        }
        step(Yield);
        Connected = true;
        continue;
      } catch (const Trimmed &Gone) {
        log(LogLevel::Warn, "log.trimmed",
            {{"stream", Stream},
             {"first", static_cast<std::int64_t>(Gone.First)}});
        Restored = false;
      } catch (const Error &Failure) {
        if (Connected) {
          log(LogLevel::Warn, "log.unreachable",
              {{"stream", Stream}, {"cause", Failure.what()}});
        }
      }
      Connected = false;
      Timer.expires_after(RetryWait);
      Timer.async_wait(Yield);
    }
  }

  void restore(boost::asio::yield_context Yield) {
    const auto Until = DecisionClock::now() + CallLimit;
    const auto Newest = Log.last(Yield, Stream + ".snapshots", Until);
    if (!Newest) {
      return;
    }
    try {
      auto Saved = Fold::load(Newest->Body);
      if (Saved.next() > State.next()) {
        State = std::move(Saved);
      }
    } catch (const std::invalid_argument &) {
      Hooks.Bad(*Newest);
    }
  }

  void step(boost::asio::yield_context Yield) {
    const auto Wait = Ready ? PollWait : Millis{0};
    const auto Until = DecisionClock::now() + CallLimit + Wait;
    const auto Page = Log.read(Yield, Stream, State.next(), Wait, Until);
    for (const auto &One : Page.Records) {
      try {
        Step(State, One);
      } catch (const std::invalid_argument &) {
        Hooks.Bad(One);
        State.skip(One.Offset);
      }
    }
    const bool Reached = State.next() >= Page.End;
    const bool First = Reached && !Ready;
    Ready = Ready || Reached;
    if (First || !Page.Records.empty()) {
      Hooks.Changed();
    }
  }

  boost::asio::io_context &Control;
  LogClient Log;
  std::string Stream;
  Apply Step;
  FollowerCallbacks Hooks;
  Fold State;
  bool Ready = false;
  bool Connected = false;
};

} // namespace goldcrestnotch
