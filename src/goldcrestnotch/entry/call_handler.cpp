/// @file
/// Forwards service calls, with retries or a claim as the route requires.

#include "goldcrestnotch/entry/call_handler.hpp"

#include <optional>
#include <set>

#include "goldcrestnotch/config/limits.hpp"
#include "goldcrestnotch/entry/answer.hpp"
#include "goldcrestnotch/http/client.hpp"

namespace goldcrestnotch {

namespace asio = boost::asio;

namespace internal {

static constexpr std::string_view PathPrefix = "/v1/services/";
static constexpr std::uint32_t MaxAttempts = 4;
static constexpr Millis ClaimRetryDelay{2'000};

/// @brief A service call in progress.
class CallRun {
public:
  CallRun(EntryContext &Context, http::Exchange &Exchange, const Span &Trace)
      : Context{Context}, Exchange{Exchange}, Trace{Trace},
        CallerWorkspace{Context.authenticate(Exchange.request())},
        ServiceRoute{Context.route(routeOf(Exchange.request().Path),
                                   RouteKind::Service)},
        IdempotencyKey{EntryContext::idempotencyKey(Exchange.request())},
        CallId{EntryContext::requestId(CallerWorkspace.Name, IdempotencyKey)},
        Shard{Context.ledger().shard(budgetPool(CallerWorkspace.Name))} {}

  void run() {
    try {
      Exchange.reply(execute());
    } catch (const Error &Failure) {
      throw Error{Failure}.withVerdict(Sent ? Verdict::MayHaveRun
                                            : Failure.verdict());
    }
  }

private:
  [[nodiscard]] static RouteId routeOf(const std::string &Path) {
    const auto Rest = Path.substr(PathPrefix.size());
    return RouteId{Rest.substr(0, Rest.find('/'))};
  }

  [[nodiscard]] std::string targetPath(const std::string &Path) const {
    const auto Rest =
        Path.substr(PathPrefix.size() + ServiceRoute.Name.str().size());
    return Rest.empty() ? "/" : Rest;
  }

  [[nodiscard]] http::Response execute() {
    if (ServiceRoute.Idempotent) {
      return sendWithRetries();
    }
    auto Response = IdempotencyKey.empty() ? sendOnce() : sendClaimed();
    if (promisesNotRun(Response.Status)) {
      rejectUnproven(Response.Status);
    }
    return Response;
  }

  /// @brief Replaces a response by which the caller would take a call that must
  /// not run twice for one that has not run: a target can't state that.
  [[noreturn]] void rejectUnproven(int Status) {
    const auto StatusText = std::to_string(Status);
    Context.host().metrics().count("responses_replaced_total{status=\"" +
                                   StatusText + "\"}");
    throw Error{502, "target_failed",
                "the target responded with status " + StatusText +
                    ", which does not tell whether the call has run"}
        .withVerdict(Verdict::MayHaveRun);
  }

  /// @brief Sends an idempotent call, and retries it on another target after a
  /// failure, up to the maximum number of attempts.
  [[nodiscard]] http::Response sendWithRetries() {
    for (std::uint32_t Attempt = 1;; ++Attempt) {
      try {
        return send(Attempt >= MaxAttempts);
      } catch (const Error &Failure) {
        if (Attempt >= MaxAttempts || TriedTargets.empty() ||
            Failure.code() == "no_target") {
          throw;
        }
      }
    }
  }

  /// @brief Sends a call that must not run twice. It is retried on another
  /// target only while no byte of it may have reached one.
  [[nodiscard]] http::Response sendOnce() {
    while (true) {
      try {
        return send(false);
      } catch (const Error &Failure) {
        const bool CanRetry = Failure.code() == "target_unreachable" &&
                              Failure.verdict() == Verdict::NotRun &&
                              TriedTargets.size() < MaxAttempts;
        if (!CanRetry) {
          throw;
        }
      }
    }
  }

  /// @brief Claims the idempotency key and runs the call if the claim is
  /// granted. If the call was claimed before, replays the recorded outcome.
  [[nodiscard]] http::Response sendClaimed() {
    const auto Result = await<ClaimDecision>(Exchange.yield(), [&](auto Done) {
      asio::post(Context.host().control(),
                 [this, Done] { Shard.claim(CallId, Done); });
    });
    if (const auto *Completed = std::get_if<ClaimCompleted>(&Result)) {
      return replay(Completed->End);
    }
    if (std::holds_alternative<ClaimInDoubt>(Result)) {
      throw Error{409, "in_doubt",
                  "the call was sent before and its outcome is unknown"}
          .withVerdict(Verdict::MayHaveRun);
    }
    if (std::holds_alternative<ClaimTimedOut>(Result)) {
      Context.host().metrics().count("refusals_total{cause=\"claim\"}");
      throw Error{503, "claim_unavailable",
                  "the idempotency key could not be claimed in the log"}
          .withRetryAfter(ClaimRetryDelay);
    }
    return runClaimed();
  }

  /// @brief Runs a claimed call and records its outcome. Releases the claim if
  /// the call has certainly not run, so that a retry can claim it again.
  [[nodiscard]] http::Response runClaimed() {
    try {
      auto Response = sendOnce();
      recordOutcome(Outcome{CallId, Verdict::Ran, Response.Status,
                            std::string{Response.field("Content-Type")},
                            Response.Body.substr(0, config::MaxOutcomeBytes)});
      return Response;
    } catch (const Error &Failure) {
      if (Failure.verdict() == Verdict::NotRun) {
        asio::post(Context.host().control(), [&Shard = Shard, CallId = CallId] {
          Shard.releaseClaim(CallId);
        });
      } else {
        recordOutcome(Outcome{CallId, Verdict::MayHaveRun, 0, {}, {}});
      }
      throw;
    }
  }

  void recordOutcome(Outcome CallOutcome) {
    asio::post(
        Context.host().control(),
        [&Shard = Shard, CallOutcome = std::move(CallOutcome)]() mutable {
          Shard.endClaim(std::move(CallOutcome));
        });
  }

  /// @brief Builds the response of a recorded outcome.
  /// @throws Error with status 409 if it is unknown whether the call ran.
  [[nodiscard]] static http::Response replay(const Outcome &Recorded) {
    if (Recorded.Ran != Verdict::Ran) {
      throw Error{409, "in_doubt",
                  "the call was sent before and its outcome is unknown"}
          .withVerdict(Verdict::MayHaveRun);
    }
    http::Response Response;
    Response.Status = Recorded.Status;
    Response.Fields["Content-Type"] = Recorded.ContentType;
    Response.Fields["Idempotency-Replayed"] = "true";
    Response.Body = Recorded.Body;
    return Response;
  }

  /// @brief Makes one attempt on one target. A server error of the target is
  /// thrown for a retry if the route is idempotent, except on the last attempt,
  /// whose response goes to the caller.
  [[nodiscard]] http::Response send(bool LastAttempt) {
    const auto Version = Context.rollout().versionFor(ServiceRoute, CallId,
                                                      TriedTargets.empty());
    const auto Slot = Context.acquireSlot(
        Exchange.yield(), PlacementRequest{ServiceRoute.Name, Version,
                                           CallId.str(), TriedTargets});
    const Span Hop{Trace.context(), "target " + Slot->target().Name.str()};
    const auto SentAt = DecisionClock::now();
    try {
      auto Response =
          http::Client{Exchange.yield(), Slot->target().Address}.send(
              targetRequest(Hop),
              SentAt + Context.host().settings().FirstByteTimeout);
      const bool Failed = Response.Status >= 500;
      Slot->setResult(Failed ? TargetResult::Failed : TargetResult::Good);
      observe(Version, Failed || promisesNotRun(Response.Status), SentAt);
      if (Failed && ServiceRoute.Idempotent && !LastAttempt) {
        throw Error{502, "target_failed",
                    "the target answered with a server error"}
            .withVerdict(Verdict::MayHaveRun);
      }
      return callerResponse(std::move(Response));
    } catch (const Error &Failure) {
      Sent = Sent || Failure.verdict() != Verdict::NotRun;
      TriedTargets.insert(Slot->target().Name);
      Slot->setResult(TargetResult::Failed);
      observe(Version, true, SentAt);
      throw;
    }
  }

  /// @brief Reports the result and latency of an attempt to the rollout.
  void observe(const VersionId &Version, bool Failed, Instant SentAt) {
    Context.rollout().observe({ServiceRoute.Name, Version, Failed,
                               DecisionClock::now() - SentAt, Millis{0}});
  }

  [[nodiscard]] http::Request targetRequest(const Span &Hop) const {
    const auto &Incoming = Exchange.request();
    http::Request Outgoing;
    Outgoing.Method = Incoming.Method;
    Outgoing.Path = targetPath(Incoming.Path);
    Outgoing.Query = Incoming.Query;
    Outgoing.Body = Incoming.Body;
    if (const auto Type = Incoming.field("Content-Type"); !Type.empty()) {
      Outgoing.Fields["Content-Type"] = std::string{Type};
    }
    Outgoing.Fields["X-Request-Id"] = CallId.str();
    Outgoing.Fields["X-Workspace"] = CallerWorkspace.Name.str();
    Outgoing.Fields["traceparent"] = Hop.header();
    return Outgoing;
  }

  [[nodiscard]] http::Response callerResponse(http::Response Response) const {
    http::Response Forwarded;
    Forwarded.Status = Response.Status;
    Forwarded.Fields["Content-Type"] =
        std::string{Response.field("Content-Type")};
    Forwarded.Fields["X-Request-Id"] = CallId.str();
    Forwarded.Body = std::move(Response.Body);
    if (Forwarded.Status >= 500) {
      Forwarded.Fields[VerdictHeader] = std::string{toString(Verdict::Ran)};
    }
    return Forwarded;
  }

  EntryContext &Context;
  http::Exchange &Exchange;
  const Span &Trace;
  Workspace CallerWorkspace;
  Route ServiceRoute;
  std::string IdempotencyKey;
  RequestId CallId;
  LedgerShard &Shard;
  std::set<TargetId> TriedTargets;
  bool Sent = false; ///< A target may have received bytes of the call.
};

} // namespace internal

void CallHandler::handle(http::Exchange &Exchange, const Span &Trace) {
  Context.requireServing();
  internal::CallRun Run{Context, Exchange, Trace};
  Run.run();
}

} // namespace goldcrestnotch
