/// @file
/// One call of a plain service.

#include "goldcrestnotch/entry/call_handler.hpp"

#include <optional>
#include <set>

#include "goldcrestnotch/config/limits.hpp"
#include "goldcrestnotch/entry/answer.hpp"
#include "goldcrestnotch/http/client.hpp"

namespace goldcrestnotch {

namespace asio = boost::asio;

namespace internal {

static constexpr std::string_view Prefix = "/v1/services/";
static constexpr std::uint32_t MostTries = 4;
static constexpr Millis ClaimRetry{2'000};

/// @brief One call in progress.
class CallRun {
public:
  CallRun(EntryContext &With, http::Exchange &Talk, const Span &Trace)
      : With{With}, Talk{Talk}, Trace{Trace}, Customer{With.authenticate(
                                                  Talk.request())},
        On{With.route(routeOf(Talk.request().Path), RouteKind::Service)},
        Key{EntryContext::idempotencyKey(Talk.request())},
        Request{EntryContext::requestId(Customer.Name, Key)},
        Shard{With.ledger().shard(budgetPool(Customer.Name))} {}

  void run() {
    try {
      Talk.reply(answer());
    } catch (const Error &Failure) {
      throw Error{Failure}.withVerdict(Sent ? Verdict::MayHaveRun
                                            : Failure.verdict());
    }
  }

private:
  [[nodiscard]] static RouteId routeOf(const std::string &Path) {
    const auto Rest = Path.substr(Prefix.size());
    return RouteId{Rest.substr(0, Rest.find('/'))};
  }

  [[nodiscard]] std::string restOf(const std::string &Path) const {
    const auto Rest = Path.substr(Prefix.size() + On.Name.str().size());
    return Rest.empty() ? "/" : Rest;
  }

  [[nodiscard]] http::Response answer() {
    if (On.Idempotent) {
      return repeat();
    }
    return Key.empty() ? once() : claimed();
  }

  /// @brief Tries targets until one answers.
  [[nodiscard]] http::Response repeat() {
    for (std::uint32_t I = 1;; ++I) {
      try {
        return send(I >= MostTries);
      } catch (const Error &Failure) {
        if (I >= MostTries || Tried.empty() || Failure.code() == "no_target") {
          throw;
        }
      }
    }
  }

  /// @brief Tries targets until a byte may have reached one.
  [[nodiscard]] http::Response once() {
    while (true) {
      try {
        return send(false);
      } catch (const Error &Failure) {
        const bool Another = Failure.code() == "target_unreachable" &&
                             Failure.verdict() == Verdict::NotRun &&
                             Tried.size() < MostTries;
        if (!Another) {
          throw;
        }
      }
    }
  }

  /// @brief Runs the call if its claim is the first, else gives what is known.
  [[nodiscard]] http::Response claimed() {
    const auto Result = await<ClaimDecision>(Talk.yield(), [&](auto Done) {
      asio::post(With.host().control(),
                 [this, Done] { Shard.claim(Request, Done); });
    });
    if (const auto *Old = std::get_if<ClaimCompleted>(&Result)) {
      return replay(Old->End);
    }
    if (std::holds_alternative<ClaimInDoubt>(Result)) {
      throw Error{409, "in_doubt",
                  "the call was sent before and its end is not known"}
          .withVerdict(Verdict::MayHaveRun);
    }
    if (std::holds_alternative<ClaimTimedOut>(Result)) {
      With.host().metrics().count("refusals_total{cause=\"claim\"}");
      throw Error{503, "claim_unavailable",
                  "the call could not be claimed in the log"}
          .withRetryAfter(ClaimRetry);
    }
    return runClaimed();
  }

  [[nodiscard]] http::Response runClaimed() {
    try {
      auto Answer = once();
      end(Outcome{Request, Verdict::Ran, Answer.Status,
                  std::string{Answer.field("Content-Type")},
                  Answer.Body.substr(0, config::OutcomeBytes)});
      return Answer;
    } catch (const Error &Failure) {
      if (Failure.verdict() == Verdict::NotRun) {
        asio::post(With.host().control(), [&Shard = Shard, Request = Request] {
          Shard.releaseClaim(Request);
        });
      } else {
        end(Outcome{Request, Verdict::MayHaveRun, 0, {}, {}});
      }
      throw;
    }
  }

  void end(Outcome What) {
    asio::post(With.host().control(),
               [&Shard = Shard, What = std::move(What)]() mutable {
                 Shard.endClaim(std::move(What));
               });
  }

  [[nodiscard]] static http::Response replay(const Outcome &End) {
    if (End.Ran != Verdict::Ran) {
      throw Error{409, "in_doubt",
                  "the call was sent before and its end is not known"}
          .withVerdict(Verdict::MayHaveRun);
    }
    http::Response Answer;
    Answer.Status = End.Status;
    Answer.Fields["Content-Type"] = End.ContentType;
    Answer.Fields["Idempotency-Replayed"] = "true";
    Answer.Body = End.Body;
    return Answer;
  }

  [[nodiscard]] http::Response send(bool Last) {
    const auto Version = With.moves().versionFor(On, Request, Tried.empty());
    const auto Slot = With.place(
        Talk.yield(), PlacementRequest{On.Name, Version, Request.str(), Tried});
    const Span Hop{Trace.context(), "target " + Slot->target().Name.str()};
    const auto SentAt = DecisionClock::now();
    try {
      auto Answer = http::Client{Talk.yield(), Slot->target().Where}.send(
          order(Hop), SentAt + With.host().settings().FirstByteWait);
      const bool Bad = Answer.Status >= 500;
      Slot->setResult(Bad ? TargetResult::Failed : TargetResult::Good);
      observe(Version, Bad, SentAt);
      if (Bad && On.Idempotent && !Last) {
        throw Error{502, "target_failed", "the target failed"}.withVerdict(
            Verdict::MayHaveRun);
      }
      return passed(std::move(Answer));
    } catch (const Error &Failure) {
      Sent = Sent || Failure.verdict() != Verdict::NotRun;
      Tried.insert(Slot->target().Name);
      Slot->setResult(TargetResult::Failed);
      observe(Version, true, SentAt);
      throw;
    }
  }

  void observe(const VersionId &Version, bool Bad, Instant SentAt) {
    With.moves().observe(
        {On.Name, Version, Bad, DecisionClock::now() - SentAt, Millis{0}});
  }

  [[nodiscard]] http::Request order(const Span &Hop) const {
    const auto &In = Talk.request();
    http::Request Out;
    Out.Method = In.Method;
    Out.Path = restOf(In.Path);
    Out.Query = In.Query;
    Out.Body = In.Body;
    if (const auto Type = In.field("Content-Type"); !Type.empty()) {
      Out.Fields["Content-Type"] = std::string{Type};
    }
    Out.Fields["X-Request-Id"] = Request.str();
    Out.Fields["X-Workspace"] = Customer.Name.str();
    Out.Fields["traceparent"] = Hop.header();
    return Out;
  }

  [[nodiscard]] http::Response passed(http::Response Answer) const {
    http::Response Out;
    Out.Status = Answer.Status;
    Out.Fields["Content-Type"] = std::string{Answer.field("Content-Type")};
    Out.Fields["X-Request-Id"] = Request.str();
    Out.Body = std::move(Answer.Body);
    if (Out.Status >= 500) {
      Out.Fields[VerdictHeader] = std::string{toString(Verdict::Ran)};
    }
    return Out;
  }

  EntryContext &With;
  http::Exchange &Talk;
  const Span &Trace;
  Workspace Customer;
  Route On;
  std::string Key;
  RequestId Request;
  LedgerShard &Shard;
  std::set<TargetId> Tried;
  bool Sent = false; ///< Bytes of the call may have reached a target.
};

} // namespace internal

void CallHandler::handle(http::Exchange &Talk, const Span &Trace) {
  With.requireServing();
  internal::CallRun Run{With, Talk, Trace};
  Run.run();
}

} // namespace goldcrestnotch
