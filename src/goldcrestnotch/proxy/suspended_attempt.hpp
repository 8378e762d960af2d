/// @file
/// An attempt at a silent target that is kept while the request is offered to
/// another one.

#pragma once

#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "goldcrestnotch/backend/target.hpp"
#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/proxy/upstream.hpp"
#include "goldcrestnotch/quarantine/open_answers.hpp"

namespace goldcrestnotch::proxy {

/// @brief What is known of one attempt.
struct AttemptRecord {
  std::shared_ptr<backend::Target> Target;
  Instant Sent{};         ///< When the request was sent.
  Instant HeadReceived{}; ///< When the response began to arrive.
  /// The request at the target, until the response is known to be sound.
  std::optional<quarantine::OpenAnswers::Key> Open;
  /// From `Sent` to the response head; for streams, to the first event.
  Millis TimeToFirstByte{0};
  /// The attempt counts as evidence about the version of its target.
  bool EvidenceRecorded = false;
};

/// @brief An attempt whose response is not read for a while. Its connection
/// stays open until a deadline: two targets must not work on one stream for
/// long.
class SuspendedAttempt {
public:
  SuspendedAttempt(std::unique_ptr<Upstream> Remote, AttemptRecord Record)
      : Remote{std::move(Remote)}, Record{std::move(Record)} {}

  [[nodiscard]] AttemptRecord &record() noexcept { return Record; }
  [[nodiscard]] Upstream &upstream() noexcept { return *Remote; }
  /// @brief Whether the response can be read on.
  [[nodiscard]] bool open() const {
    return Remote->connection()->Socket.socket().is_open();
  }
  /// @brief Closes the connection at a deadline, unless an answer on another
  /// one waits to be read by then.
  void closeAt(boost::asio::io_context &Loop, Instant Deadline,
               std::shared_ptr<TargetConnection> Other) {
    Timer = std::make_shared<boost::asio::steady_timer>(Loop,
                                                        toSteadyTime(Deadline));
    Timer->async_wait(
        [Watched = std::weak_ptr{Timer}, Connection = Remote->connection(),
         Other = std::move(Other)](const boost::system::error_code &Failure) {
          boost::system::error_code Ignored; // No answer waits then.
          if (!Failure && !Watched.expired() &&
              Other->Socket.socket().available(Ignored) == 0) {
            Connection->Socket.close();
          }
        });
  }
  /// @brief Takes the attempt, to read its response on.
  [[nodiscard]] std::unique_ptr<Upstream> take() noexcept {
    Timer.reset();
    return std::move(Remote);
  }

private:
  std::unique_ptr<Upstream> Remote;
  AttemptRecord Record;
  /// Its handler does nothing once this is null.
  std::shared_ptr<boost::asio::steady_timer> Timer;
};

} // namespace goldcrestnotch::proxy
