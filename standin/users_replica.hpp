/// @file
/// Stand-in for a replica of the users' platform. It counts the requests that
/// it executes and injects the faults that tests select.

#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include <boost/asio/io_context.hpp>

#include "arrival_log.hpp"
#include "goldcrestnotch/http/server.hpp"

namespace standin {

/// @brief A replica with its own id and listening port.
class UsersReplica {
public:
  /// @brief How the replica responds to requests.
  enum class Behavior : std::uint8_t {
    Normal,
    Full,          ///< Responds `RefusalStatus` and states that nothing was
                   ///< executed.
    Failing,       ///< Executes the request and responds `FailureStatus`.
    Disconnecting, ///< Executes the request and closes without a response.
    PausingStream, ///< Sends its first event and then nothing for a long time.
    TruncatingStream, ///< Closes in the middle of the third event of a stream.
    StaleReply, ///< Sends a response with another request's id, then the right
                ///< one.
    /// Responds to every second request with a refusal that names no request,
    /// as if an earlier one came again, and then with the right answer.
    RepeatedRefusal,
    OversizedHead,    ///< Responds with a header section of 1 MiB.
    EndlessBody,      ///< Responds with a body that never ends.
    StaleEndlessBody, ///< Responds with an endless body and another request's
                      ///< id.
    ClientError,      ///< Executes the request and responds 404.
    EmptyBody,        ///< Executes the request and responds 200 without a body.
    /// Sends wrong bytes in the place of the third event of a stream, in one
    /// piece with its neighbours.
    SpoiledStream,
    SpoiledFirst, ///< Sends wrong bytes in the place of the first event.
    SpoiledLast,  ///< Sends wrong bytes in the place of the last id.
    LargeBody,    ///< Responds to calls with a body of 3 MiB.
  };

  UsersReplica(boost::asio::io_context &Context, std::string Name,
               const goldcrestnotch::http::Endpoint &Address);

  std::string Version = "v1"; ///< Must be set before the replica is registered.

  [[nodiscard]] std::string name() const;
  /// @brief Returns the replica's registry record as JSON.
  [[nodiscard]] std::string entry(const std::string &Service,
                                  const std::string &State) const;
  [[nodiscard]] std::uint16_t port() const noexcept { return Listener.port(); }
  /// @brief Sets the port to register in place of the listening port, such as
  /// that of a proxy in front.
  void setAdvertisedPort(std::uint16_t Port) { Address.Port = Port; }
  /// @brief Gives the replica a new start time, as after a restart.
  void restart() { ++BornMs; }
  /// @brief Gives the replica a new start time and a new id, as if another one
  /// were started at its address.
  void replace() {
    ++BornMs;
    ++Replacements;
  }
  /// @brief Returns how often the request of an attempt was executed.
  [[nodiscard]] int runsOf(const std::string &AttemptId) const;
  /// @brief Returns the bytes of endless bodies written to callers so far.
  [[nodiscard]] std::uint64_t endlessBytesSent() const noexcept {
    return EndlessBytes;
  }
  /// @brief Returns the number of executed requests.
  [[nodiscard]] std::uint64_t runs() const noexcept { return Runs; }
  /// @brief Returns the number of requests, executed or not, that arrived in a
  /// half-open interval.
  [[nodiscard]] std::size_t arrivals(goldcrestnotch::Instant From,
                                     goldcrestnotch::Instant To) const;
  /// @brief Returns the largest number of requests, executed or not, that
  /// arrived within a window after an instant.
  [[nodiscard]] std::size_t mostArrivals(goldcrestnotch::Millis Window,
                                         goldcrestnotch::Instant Since) const;
  /// @brief Returns the header fields of the last executed request.
  [[nodiscard]] goldcrestnotch::http::Headers lastHeaders() const;

  std::atomic<Behavior> CurrentBehavior{Behavior::Normal};
  /// Requests per second that the replica states in its responses; it states
  /// none if this is zero.
  std::atomic<double> RateLimit{0};
  /// Whether the replica states a text in place of its rate limit.
  std::atomic<bool> RateLimitIsText{false};
  /// Whether the replica says in all its responses that it leaves.
  std::atomic<bool> Leaving{false};
  /// Whether the replica says in all its responses that it does not leave.
  std::atomic<bool> Staying{false};
  /// Rejections per second that the replica says it survives; none if zero.
  std::atomic<int> Brittle{0};
  /// Seconds for which the replica asks for no requests; while it is not zero,
  /// all requests are refused with 503.
  std::atomic<double> RetryAfterS{0};
  /// Status of the responses to requests that are refused while it is full.
  std::atomic<int> RefusalStatus{503};
  /// Status of the responses to requests that fail after they were executed.
  std::atomic<int> FailureStatus{500};
  /// While failing, one of so many requests fails.
  std::atomic<int> FailureInterval{1};
  /// Seconds after which failed requests may come again; none if zero.
  std::atomic<double> FailureRetryAfterS{0};
  /// @brief What callers see of a crash.
  enum class CrashForm : std::uint8_t {
    EndBeforeHead, ///< The connection ends without a response.
    EndAfterHead,
    LateEnd,     ///< It ends a second after the head.
    InsideEvent, ///< It ends in the middle of the first event.
    AfterEvent,  ///< It ends behind the first event.
    SilentBeforeHead,
    SilentAfterHead, ///< The connection stays open without a further byte.
    SilentAfterEvent,
  };

  /// A prompt with this part crashes the replica when it begins to answer; must
  /// be set before requests are sent.
  std::string CrashingPart;
  /// A request with this path crashes the replica in the same way.
  std::string CrashingPath;
  /// Must be set before requests are sent.
  CrashForm FormOfCrash = CrashForm::EndAfterHead;
  /// Called after a crash, which gives the replica a new start time.
  std::function<void(UsersReplica &)> OnCrash;
  std::atomic<int> Events{5};
  std::atomic<int> EventDelayMs{1}; ///< Delay before each event.

private:
  [[noreturn]] void
  sendEndlessBody(goldcrestnotch::http::Exchange &HttpExchange,
                  const goldcrestnotch::http::Response &Head);
  void handle(goldcrestnotch::http::Exchange &HttpExchange);
  /// @brief Responds that an executed request has failed.
  void fail(goldcrestnotch::http::Exchange &HttpExchange,
            goldcrestnotch::http::Response Reply);
  /// @brief Writes what the current behavior sends before or in place of the
  /// right response.
  /// @return Whether that was in its place.
  [[nodiscard]] bool respondFaulty(goldcrestnotch::http::Exchange &HttpExchange,
                                   goldcrestnotch::http::Response &Reply);
  [[nodiscard]] bool
  crashes(const goldcrestnotch::http::Request &Received) const;
  [[noreturn]] void crash(goldcrestnotch::http::Exchange &HttpExchange,
                          goldcrestnotch::http::Response Head);
  void stream(goldcrestnotch::http::Exchange &HttpExchange,
              goldcrestnotch::http::Response Head);

  std::string Name;
  goldcrestnotch::http::Endpoint Address;
  std::atomic<std::uint64_t> Runs{0};
  std::atomic<std::uint64_t> EndlessBytes{0};
  std::atomic<std::uint64_t> Received{0};
  std::atomic<std::uint64_t> BornMs{1'700'000'000'000};
  std::atomic<std::uint64_t> Replacements{0};
  mutable std::atomic<std::uint64_t> Entries{0}; ///< Registry records built.
  mutable std::mutex Mutex;
  goldcrestnotch::http::Headers LastHeaders; ///< Guarded by `Mutex`.
  std::map<std::string, int> RunsByAttempt;  ///< Guarded by `Mutex`.
  ArrivalLog Arrivals;                       ///< Guarded by `Mutex`.
  goldcrestnotch::http::Server Listener;
};

} // namespace standin
