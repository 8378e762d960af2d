/// @file
/// Handles one request, from its head to the end of its response.

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/proxy/attempt_plan.hpp"
#include "goldcrestnotch/proxy/caller_connection.hpp"
#include "goldcrestnotch/proxy/proxy_context.hpp"
#include "goldcrestnotch/proxy/replacement_search.hpp"
#include "goldcrestnotch/proxy/suspended_attempt.hpp"
#include "goldcrestnotch/stream/event_framer.hpp"

namespace goldcrestnotch::proxy {

class Upstream;

namespace internal {
class ActiveEntry;
} // namespace internal

/// @brief Routes, admits and forwards a request, and responds to its caller.
class Exchange {
public:
  Exchange(ProxyContext &Context, CallerConnection &Caller,
           boost::asio::yield_context Yield);
  ~Exchange();
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  /// @brief Handles the request; afterwards `CallerConnection::keepAlive` says
  /// whether the connection may carry another one.
  void run();

private:
  /// @brief What a target stated about a request that was sent to it.
  struct SentAttempt {
    TargetId Target;
    int Status;  ///< Of the response; zero if none arrived.
    bool Signed; ///< The response has the signature of the target.
    AttemptResult Result;

    [[nodiscard]] std::string str() const;
  };

  /// @brief Finds the route and service and sets the deadline.
  /// @return False if the request has been rejected.
  [[nodiscard]] bool route();
  /// @brief Finds the workspace of the caller's key.
  /// @return False if the request has been rejected.
  [[nodiscard]] bool authenticate();
  /// @brief Rejects a request that the configuration does not allow, or that it
  /// may allow by now if this VM's copy is old.
  void deny(int Status, std::string_view Reason);
  /// @brief Reserves tokens if the workspace has a prepaid budget.
  /// @return False if the request has been rejected.
  [[nodiscard]] bool reserve();
  /// @brief Sends the request to targets until an attempt settles it.
  void forward();
  /// @brief Takes an idle connection to a target or opens one.
  /// @return Null if the target can't be reached; `Cause` says why.
  [[nodiscard]] std::shared_ptr<TargetConnection>
  connect(Instant Now, const backend::Registration &Target);
  /// @brief Looks once more, right before the first byte is sent, at whether
  /// the request may be sent: what was known before may have changed.
  /// @return The result of the attempt if it may not.
  [[nodiscard]] std::optional<AttemptResult>
  checkBeforeSend(const std::shared_ptr<backend::Target> &Target,
                  TargetConnection &Connection);
  /// @brief Sends the request to a target and forwards the response.
  [[nodiscard]] AttemptResult
  attempt(const std::shared_ptr<backend::Target> &Target);
  /// @brief Offers a stream whose target is silent to the next target, and goes
  /// on reading if that one does not accept it.
  [[nodiscard]] AttemptResult attemptElsewhere();
  /// @brief Reads the response of the suspended attempt on.
  [[nodiscard]] AttemptResult resumeSuspended();
  /// @brief Gives the suspended attempt up, if there is one.
  void abandonSuspended();
  /// @brief Ends an attempt, or suspends it if its target is silent.
  [[nodiscard]] AttemptResult endAttempt(std::unique_ptr<Upstream> Remote,
                                         AttemptResult Result);
  /// @brief Why a response could not be read to its end.
  /// @param Broken The cause if the connection failed.
  [[nodiscard]] static std::string lossCause(const Upstream &Remote,
                                             const char *Broken);
  /// @brief Receives and forwards the response to an attempt.
  [[nodiscard]] AttemptResult receiveResponse(Upstream &Remote,
                                              internal::ActiveEntry &Listed);
  /// @brief Ends the use of a target's connection. The caller's leaving does
  /// not close it any more.
  void releaseTarget(Upstream &Remote);
  /// @brief Whether a response can follow the part of a stream that the caller
  /// already has.
  [[nodiscard]] bool continuesStream(Upstream &Remote) const;
  /// @brief Forwards a stream of events as they arrive, from its beginning or
  /// from where it was suspended.
  /// @param SilentSince When the target sent something last.
  [[nodiscard]] AttemptResult relayStream(Upstream &Remote,
                                          Instant SilentSince);
  /// @brief Records that a read has completed events with an id.
  void recordEvents(Upstream &Remote, std::uint64_t Count);
  /// @brief Sends events of a stream to the caller, behind the head of the
  /// response if they are the first.
  void passOn(int Status, const WireFields &Fields, std::string_view Events);
  /// @brief Reads the whole body of a response that is buffered.
  /// @return False if the connection fails or the body is too long; `Cause`
  /// says which.
  [[nodiscard]] bool readBody(Upstream &Remote, std::string &Body);
  /// @brief Forwards a response after all of it has been received.
  [[nodiscard]] AttemptResult forwardBuffered(Upstream &Remote);
  /// @brief Chooses a target for the next attempt, and obtains a permit if it
  /// has a rate limit.
  /// @return Null if there is none.
  [[nodiscard]] std::shared_ptr<backend::Target> chooseTarget();
  /// @brief What the request requires of a target that it was not sent to.
  [[nodiscard]] backend::TargetRequest targetRequest() const;
  /// @brief Picks a target at which a stream whose target is silent could go
  /// on.
  /// @return Null if there is none, or if the stream can't go on elsewhere.
  [[nodiscard]] std::shared_ptr<backend::Target> replacement();
  /// @brief Picks a target of the version that the request goes to.
  /// @param VersionDraw Decides the version while the service moves to another.
  /// @return Null if none is eligible.
  [[nodiscard]] std::shared_ptr<backend::Target>
  pickTarget(backend::TargetRequest &Wanted, double VersionDraw);
  /// @brief Whether a chosen target may still get the request: it may have left
  /// during a wait.
  [[nodiscard]] bool
  mayReceive(const std::shared_ptr<backend::Target> &Target) const;
  /// @brief Until when the request may wait for a permit.
  [[nodiscard]] Instant permitDeadline() const;
  void waitFor(Millis Duration);
  /// @brief Logs that a field in the head of a response can't be read; some
  /// lines a second, since all responses of a target may have it.
  void reportUnreadable(Upstream &Remote, std::string_view Event);
  /// @brief Records the rate limit that the head of a response states, or that
  /// it states none. One that can't be read changes nothing.
  void recordRateLimit(Upstream &Remote);
  /// @brief Takes the time for which a target that responded 503 wants no
  /// requests, whether or not it executed this one.
  void recordRetryAfter(Upstream &Remote);
  /// @brief Lets all VMs leave a target alone that rejected the request and
  /// states how few rejections it survives.
  void recordRejection(Upstream &Remote);
  /// @brief Takes the time of return of paused targets as the time after which
  /// the caller may retry.
  void observeReturn();
  /// @brief Takes what the head of a response states about its target.
  void recordTargetState(Upstream &Remote);
  /// @brief Mean time between the events of the response; zero if unknown.
  [[nodiscard]] Millis meanEventGap() const;
  /// @brief Records what the attempt says about the version of its target, if
  /// the service moves to another version.
  void recordEvidence(const backend::Target &Target, bool Failed);
  /// @brief Updates the target's backoff and the evidence of a traffic shift.
  void recordResult(backend::Target &Target, AttemptResult Result);
  /// @brief Ends the request as decided after the last attempt.
  void conclude(NextStep Step);
  /// @brief Responds with an error that the proxy itself generates.
  void reject(int Status, std::string_view Reason,
              std::optional<Millis> RetryAfter = std::nullopt);
  /// @brief Records the time of a read that completed events with an id.
  void recordEventTimes();
  /// @brief Finds the suspects of the request, unless they are known.
  void identify();
  /// @brief Rejects the request if it is in quarantine.
  /// @return False if it has been rejected.
  [[nodiscard]] bool passQuarantine();
  /// @brief Why the request must not be sent: it would crash a target.
  /// @return An empty text if it may be sent.
  [[nodiscard]] std::string_view quarantineCause();
  /// @brief Whether the request must not be sent again, since the lost response
  /// may be due to what it contains.
  [[nodiscard]] bool suspect();
  /// @brief Finds out whether a target that sends nothing has ended, and
  /// returns whether to ask another one that has taken a connection.
  [[nodiscard]] bool observeSilence(Upstream &Remote,
                                    ReplacementSearch &Search);
  /// @brief Records how an attempt ended that is not known to be sound.
  void recordEnd(Upstream &Remote, AttemptResult Result);
  /// @brief Whether a connection that broke off was ended by its target, and
  /// not by a loss of this VM's links.
  [[nodiscard]] bool targetBrokeOff(Upstream &Remote);
  /// @brief Records that the target is still running a while after it began to
  /// respond.
  void recordSoundAnswer();
  /// @brief Replaces the reservation by the tokens that were spent.
  void settle();
  /// @brief Counts and logs that the caller got a response without its end.
  void reportCut() const;
  /// @brief Counts that the caller was told that the request has not run, and
  /// logs what the targets stated if it had been sent.
  void reportRefusal() const;
  /// @brief Counts and logs the result of the request.
  void logResult() const;
  /// @brief A randomized time after which a rejected caller may retry.
  [[nodiscard]] Millis retryDelay();
  /// @brief The request as it is sent to a target.
  [[nodiscard]] WireRequest
  buildRequest(const backend::Registration &Registration, Instant Now) const;

  ProxyContext &Context;
  CallerConnection &Caller;
  boost::asio::yield_context Yield;
  /// The table at the start of the exchange; a later one does not affect it.
  std::shared_ptr<const routing::RouteTable> Table;
  const routing::Route *MatchedRoute = nullptr;
  const routing::Workspace *Workspace = nullptr; ///< Null without a valid key.
  routing::ServiceId Service;
  std::optional<PromptInfo> Prompt;
  /// Known once something is held against any suspect, or the request is sent:
  /// a VM that is crowded refuses most requests before.
  std::optional<quarantine::RequestSuspects> Suspects;
  Tokens ReservedTokens; ///< Zero if nothing is reserved.
  std::int64_t TokensPerEvent = 1;
  Instant Deadline{}; ///< When the caller must have the whole response.
  std::string StreamContentType; ///< As stated to the caller.
  EventFramer Framer;
  BufferBudget::Share ResponseShare; ///< Of the bytes that are buffered.
  std::uint64_t EventsForwarded = 0; ///< Events with an id.
  AttemptRecord Attempt;             ///< The last one.
  /// An earlier attempt, until another target has accepted the stream.
  std::unique_ptr<SuspendedAttempt> Suspended;
  /// Age of what the VM knew of the targets when the last attempt was sent.
  Millis ViewAge{-1};
  /// Delay of the loop when the last attempt was sent.
  Millis SendLoopDelay{-1};
  /// A target has run the request for a while, so nothing that is held against
  /// its suspects later is due to it.
  bool ProvenSound = false;
  Instant FirstEventTime{}; ///< The epoch if no event has been received.
  Instant LastEventTime{};
  Millis LongestEventGap{0};
  AttemptState State;
  Replacement Next; ///< Is asked in place of a silent target.
  std::vector<TargetId> TriedTargets;
  std::vector<SentAttempt> SentAttempts;
  /// Shortest time until a target could get the request; nothing unless a
  /// permit was refused or targets are paused, and no other one was left.
  std::optional<Millis> PermitWait;
  AttemptResult LastResult = AttemptResult::Completed;
  /// Status of the last failure that a target responded with; zero if none.
  int FailureStatus = 0;
  WireFields FailureFields;
  std::string FailureBody;
  int ResponseStatus = 0; ///< Status sent to the caller; zero if none.
  std::string Cause;      ///< Reason of a failure, for logs and metrics.
};

} // namespace goldcrestnotch::proxy
