/// @file
/// Routing, admission and forwarding of requests.

#include "goldcrestnotch/proxy/exchange.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include "goldcrestnotch/backend/rejection_pause.hpp"
#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/escrow/retry_after.hpp"
#include "goldcrestnotch/proxy/retry_after_header.hpp"
#include "goldcrestnotch/proxy/silence_watch.hpp"
#include "goldcrestnotch/proxy/target_paths.hpp"
#include "goldcrestnotch/proxy/upstream.hpp"
#include "goldcrestnotch/proxy/wire_text.hpp"
#include "goldcrestnotch/telemetry/log.hpp"
#include "goldcrestnotch/telemetry/request_log.hpp"

namespace goldcrestnotch::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace wire = boost::beast::http;

namespace internal {

/// Limit for obtaining budget tokens that other VMs hold.
static constexpr Millis BudgetTimeout{250};
/// Limit for waiting until a target with a rate limit may get a request, also
/// as a fraction (1/N) of the latency objective of its route.
static constexpr Millis MaxPermitWait{250};
static constexpr int ObjectivePerPermitWait = 2;
/// Time that a response takes to reach the caller, subtracted from the
/// caller's deadline.
static constexpr Millis ResponseMargin{15};
/// Shortest time in which a target responds.
static constexpr Millis MinWork{20};
/// Limit for a request whose route states no timeout, and for sending a
/// response after the deadline of the request. A caller that states no deadline
/// is served for as long as the route allows.
static constexpr Millis DefaultTimeout{30'000};
/// Rejected callers are told to retry after a random time between this and
/// twice as long.
static constexpr Millis MinRetryDelay{150};
/// After a target refused a request because it was full, other targets are
/// preferred for this long.
static constexpr Millis FullBackoff{100};
/// A stream with fewer events says little about the time between events.
static constexpr std::uint64_t MinEventsForGap = 4;
/// Events after which a stream counts as evidence about its target's version.
static constexpr std::uint64_t EventsForEvidence = 8;
/// A target that is still running this long after it began to respond has not
/// been crashed by the prompt.
static constexpr Millis SoundAnswer{500};
static constexpr int StatusUnavailable = 503;
/// A target that refuses a request says so within this time. Meanwhile two
/// targets may work on a stream, which they must not do for 400 ms.
static constexpr Millis AcceptTimeout{100};
/// A target that asked for no requests gets them again after a random further
/// time of up to this fraction (1/N) of the wait, and at most the maximum.
static constexpr int ReturnSpreadDivisor = 4;
static constexpr Millis MaxReturnSpread{2'000};
/// Largest response that is buffered; a longer one counts as lost. A VM has
/// 160 MB of memory for all requests.
static constexpr std::size_t MaxBodyBytes = 4U << 20U;
static constexpr std::string_view BearerPrefix = "Bearer ";

/// @brief Lists an attempt as active while it exists.
class ActiveEntry {
public:
  ActiveEntry(ProxyContext &Context, ActiveAttempt Attempt)
      : Context{Context}, Position{Context.Active.insert(Context.Active.end(),
                                                         std::move(Attempt))} {}
  ~ActiveEntry() { Context.Active.erase(Position); }
  ActiveEntry(const ActiveEntry &) = delete;
  ActiveEntry &operator=(const ActiveEntry &) = delete;

  /// @brief Records that the target has begun to respond.
  void endWait() noexcept { Position->Sent = Instant::max(); }

private:
  ProxyContext &Context;
  std::list<ActiveAttempt>::iterator Position;
};

} // namespace internal

Exchange::Exchange(ProxyContext &Context, CallerConnection &Caller,
                   asio::yield_context Yield)
    : Context{Context}, Caller{Caller}, Yield{Yield}, Table{Context.Table},
      ResponseShare{Context.Buffers} {
  ++Context.InProgress;
}

Exchange::~Exchange() {
  if (Suspended && Suspended->record().Open) {
    Context.Quarantine.openAnswers().lose(DecisionClock::now(),
                                          *Suspended->record().Open);
  }
  if (Attempt.Open) {
    Context.Quarantine.openAnswers().lose(DecisionClock::now(), *Attempt.Open);
  }
  Caller.unwatch();
  --Context.InProgress;
}

void Exchange::run() {
  if (Context.Shutdown) {
    Caller.disableKeepAlive();
  }
  try {
    if (route() && authenticate() && passQuarantine() && reserve()) {
      forward();
      settle();
    }
  } catch (const boost::system::system_error &) {
    // The caller's connection failed, so no response can be sent.
    Cause = "caller_lost";
    settle();
    Caller.abort();
  } catch (const std::exception &Failure) {
    log(LogLevel::Error, "request.failed",
        {{"cause", std::string{Failure.what()}}});
    Cause = "internal_error";
    settle();
    Caller.abort();
  }
  logResult();
}

bool Exchange::route() {
  const auto &Request = Caller.request();
  if (!Table) {
    reject(503, "no_configuration", retryDelay());
    return false;
  }
  if (Context.ViewOutdated()) {
    Caller.disableKeepAlive(); // The caller may then connect to another VM.
    reject(503, "view_outdated", retryDelay());
    return false;
  }
  const auto RequestTarget = view(Request.target());
  MatchedRoute = Table->find(view(Request[wire::field::host]),
                             RequestTarget.substr(0, RequestTarget.find('?')));
  if (MatchedRoute == nullptr) {
    deny(404, "no_route");
    return false;
  }
  if (Request[Context.Headers.AttemptId].empty()) {
    reject(400, "no_attempt_id");
    return false;
  }
  Service = routing::RouteTable::chooseService(*MatchedRoute, Context.draw());
  Prompt = Context.Headers.ParsePrompt(Request);
  State.RetryClass = MatchedRoute->Retry;
  State.Resumable = MatchedRoute->Resumable;
  State.MaxAttempts = MatchedRoute->MaxAttempts;
  const auto Timeout = MatchedRoute->Timeout > Millis{0}
                           ? MatchedRoute->Timeout
                           : internal::DefaultTimeout;
  Deadline = Caller.arrival() + Timeout;
  if (const auto Remaining =
          parseMillis(view(Request[Context.Headers.RemainingTime]))) {
    Deadline = std::min(Deadline, Caller.arrival() + *Remaining -
                                      internal::ResponseMargin);
  }
  const auto Now = DecisionClock::now();
  if (Context.Shutdown &&
      !Context.Shutdown->accepts(Now, Deadline, Context.Delay.current(Now))) {
    reject(503, "shutting_down", retryDelay());
    return false;
  }
  if (!Context.Delay.canMeet(Now, Deadline, internal::MinWork)) {
    Caller.disableKeepAlive(); // The caller may then connect to another VM.
    reject(503, "loop_delayed", retryDelay());
    return false;
  }
  std::uint64_t LastEventId = 0;
  const auto ResumeText = view(Request[Context.Headers.LastEventId]);
  std::from_chars(ResumeText.data(), ResumeText.data() + ResumeText.size(),
                  LastEventId);
  Framer = EventFramer{LastEventId};
  return true;
}

bool Exchange::authenticate() {
  if (!Table->source().KeyRequired) {
    return true;
  }
  auto Key = view(Caller.request()[wire::field::authorization]);
  if (Key.starts_with(internal::BearerPrefix)) {
    Key.remove_prefix(internal::BearerPrefix.size());
    Workspace = Table->workspaceByKey(Key);
  }
  if (Workspace == nullptr && !MatchedRoute->Public) {
    deny(401, "unknown_key");
    return false;
  }
  return true;
}

void Exchange::deny(int Status, std::string_view Reason) {
  if (Context.AwaitConfiguration &&
      !Context.AwaitConfiguration(Yield, Instant::max())) {
    Caller.disableKeepAlive(); // The caller may then connect to another VM.
    reject(503, "view_outdated", retryDelay());
  } else if (Context.Table != Table) {
    reject(503, "configuration_changed", internal::MinRetryDelay);
  } else {
    reject(Status, Reason);
  }
}

void Exchange::identify() {
  if (Suspects) {
    return;
  }
  const auto &Request = Caller.request();
  Suspects = {
      quarantine::fingerprint(
          {view(Request.method_string()), view(Request[wire::field::host]),
           view(Request.target()),
           Workspace != nullptr ? Workspace->Name.str() : std::string_view{},
           Request.body()}),
      Prompt ? Prompt->SharedParts : std::vector<quarantine::CrashSuspect>{}};
}

bool Exchange::passQuarantine() {
  const auto Reason = quarantineCause();
  if (Reason.empty()) {
    return true;
  }
  reject(503, Reason,
         Context.Quarantine.deadline(Suspects->all()) - DecisionClock::now());
  return false;
}

bool Exchange::reserve() {
  if (Workspace == nullptr || !Workspace->Prepaid) {
    return true;
  }
  if (!Prompt) {
    if (Caller.request().count(Context.Headers.TokenUsage) == 0) {
      return true;
    }
    // The request would not be charged.
    reject(400, "malformed_token_usage");
    return false;
  }
  const auto *ChosenService = Table->service(Service);
  TokensPerEvent = ChosenService != nullptr && ChosenService->Engine
                       ? ChosenService->Engine->MaxTokensPerEvent
                       : 1;
  const Tokens Bound = Prompt->Input + Prompt->MaxOutput;
  const auto WaitDeadline =
      std::min(Deadline, Caller.arrival() + internal::BudgetTimeout);
  switch (Context.Budgets.admit(Yield, Workspace->Name, *Workspace->Prepaid,
                                Bound, WaitDeadline)) {
  case escrow::Admission::Admitted:
    ReservedTokens = Bound;
    return true;
  case escrow::Admission::Exhausted:
    reject(402, "budget_exhausted");
    return false;
  case escrow::Admission::Short:
    reject(503, "budget_elsewhere",
           escrow::retryAfter(Context.StoreOutage(), Context.draw()));
    return false;
  }
  return false;
}

void Exchange::forward() {
  Context.RetryBudget.observeRequest(DecisionClock::now(), Service);
  auto Step = NextStep::Retry;
  while (Step == NextStep::Retry) {
    const auto Target = chooseTarget();
    if (!Target) {
      if (!Caller.started()) { // Else the cause is what broke the response.
        Cause = PermitWait ? "targets_limited" : "no_target";
        observeReturn();
      }
      // There is no other target, so the last result is final.
      State.MaxAttempts = State.Sent;
      Step = State.Sent == 0 ? NextStep::Reject : nextStep(State, LastResult);
      break;
    }
    TriedTargets.push_back(Target->Registered.Name);
    LastResult = attempt(Target);
    while (LastResult == AttemptResult::TargetSilent) {
      LastResult = attemptElsewhere();
    }
    if (LastResult == AttemptResult::Completed) {
      Cause.clear(); // It may be that of an earlier attempt.
    }
    recordResult(*Attempt.Target, LastResult);
    State.ResponseBegun = Caller.started();
    State.RetryAllowed =
        Context.RetryBudget.allows(DecisionClock::now(), Service) &&
        !(LastResult == AttemptResult::ResponseLost && suspect());
    Step = nextStep(State, LastResult);
    if (Step == NextStep::Retry && State.Sent > 0) {
      Context.RetryBudget.observeRetry(DecisionClock::now(), Service);
      Context.Measured.count("repeats_total");
    }
  }
  conclude(Step);
}

backend::TargetRequest Exchange::targetRequest() const {
  return {Service,
          Prompt && MatchedRoute->PrefixAffinity ? Prompt->SharedPrefix
                                                 : std::string_view{},
          TriedTargets, Prompt ? Prompt->Input.count() : 0,
          Prompt ? Prompt->SharedInput.count() : 0};
}

std::shared_ptr<backend::Target> Exchange::chooseTarget() {
  auto Wanted = targetRequest();
  const auto WaitDeadline = permitDeadline();
  const double VersionDraw = Context.draw();
  while (auto Target = pickTarget(Wanted, VersionDraw)) {
    if (!Target->RateLimit) {
      return Target;
    }
    const auto Now = DecisionClock::now();
    // A target whose permit was refused is picked again only if no other one is
    // available, so the request waits for a permit.
    const bool LastResort = Now < Target->PermitRetry || Now >= WaitDeadline;
    const auto Permit = Context.Permits.acquire(
        Yield, *Target,
        LastResort ? std::max(WaitDeadline - Now, Millis{0}) : Millis{0});
    if (Permit.Granted) {
      waitFor(Permit.Wait);
      if (mayReceive(Target)) {
        return Target;
      }
    }
    if (LastResort) {
      Wanted.Excluded.push_back(Target->Registered.Name);
      PermitWait = std::min(PermitWait.value_or(Permit.Wait), Permit.Wait);
    }
  }
  return nullptr;
}

bool Exchange::mayReceive(
    const std::shared_ptr<backend::Target> &Target) const {
  return Target->accepts(DecisionClock::now()) &&
         Context.Targets.find(Target->Registered.Name) == Target;
}

Instant Exchange::permitDeadline() const {
  const auto Objective = MatchedRoute->LatencyObjective;
  const auto Limit =
      Objective > Millis{0}
          ? std::min(Objective / internal::ObjectivePerPermitWait,
                     internal::MaxPermitWait)
          : internal::MaxPermitWait;
  return std::min(DecisionClock::now() + Limit, Deadline - internal::MinWork);
}

void Exchange::waitFor(Millis Duration) {
  if (Duration > Millis{0}) {
    asio::steady_timer Timer{Context.Loop, Duration};
    Timer.async_wait(Yield);
  }
}

std::shared_ptr<backend::Target>
Exchange::pickTarget(backend::TargetRequest &Wanted, double VersionDraw) {
  const auto Now = DecisionClock::now();
  const auto ShiftEntry = Context.TrafficShifts.find(Service);
  if (ShiftEntry == Context.TrafficShifts.end()) {
    return Context.Targets.pick(Now, Wanted);
  }
  const bool UseNew = ShiftEntry->second.chooses(VersionDraw);
  Wanted.Version = {ShiftEntry->second.version(), UseNew,
                    UseNew ? ShiftEntry->second.targetShare() : 1};
  auto Target = Context.Targets.pick(Now, Wanted);
  if (!Target && ShiftEntry->second.end() == MoveOutcome::InProgress) {
    // The chosen version has no available target, so use the other one.
    Wanted.Version = {ShiftEntry->second.version(), !UseNew,
                      UseNew ? 1 : ShiftEntry->second.targetShare()};
    Target = Context.Targets.pick(Now, Wanted);
  }
  return Target;
}

std::shared_ptr<TargetConnection>
Exchange::connect(Instant Now, const backend::Registration &Target) {
  if (Next.Connection) {
    return std::exchange(Next, {}).Connection;
  }
  if (Context.Paths->keptUsable(Now)) {
    if (auto Idle = Context.Connections.acquire(Now, Target)) {
      return Idle;
    }
  }
  try {
    return Context.Paths->open(Yield, Target, Deadline);
  } catch (const Error &Failure) {
    ++State.Unreachable;
    Cause = Failure.code();
    if (Cause == TargetPaths::CutOff) {
      Caller.disableKeepAlive(); // The caller may then connect to another VM.
    }
    return nullptr;
  }
}

std::optional<AttemptResult>
Exchange::checkBeforeSend(const std::shared_ptr<backend::Target> &Target,
                          TargetConnection &Connection) {
  const auto Connected = DecisionClock::now();
  if (Connection.Relayed && !Context.Paths->cutOff()) {
    Target->recordFailure(Connected); // Others are reached without a relay.
  }
  // A suspended stream must not wait for long.
  const auto ViewDeadline =
      Suspended ? std::min(Connected + internal::AcceptTimeout, Deadline)
                : Deadline - internal::MinWork;
  if (Context.AwaitTargetView &&
      !Context.AwaitTargetView(Yield, ViewDeadline)) {
    Cause = "view_outdated";
    Caller.disableKeepAlive(); // The caller may then connect to another VM.
    return AttemptResult::ViewOutdated;
  }
  // The caller may have left during the wait for tokens or a connection.
  if (Caller.checkGone()) {
    return AttemptResult::CallerGone;
  }
  const bool ClosedMeanwhile =
      DecisionClock::now() > Connected && !Connection.idle();
  if (!mayReceive(Target) || ClosedMeanwhile) {
    Cause = "target_left";
    return AttemptResult::TargetLeft;
  }
  if (const auto Reason = quarantineCause(); !Reason.empty()) {
    Cause = std::string{Reason};
    return AttemptResult::Quarantined;
  }
  return std::nullopt;
}

AttemptResult
Exchange::attempt(const std::shared_ptr<backend::Target> &Target) {
  const auto Now = DecisionClock::now();
  Attempt = {};
  Attempt.Target = Target;
  if (Now >= Deadline || Context.Ending) {
    return AttemptResult::DeadlineExceeded;
  }
  const auto Connection = connect(Now, Target->Registered);
  if (!Connection) {
    return AttemptResult::Unreachable;
  }
  if (const auto Refused = checkBeforeSend(Target, *Connection)) {
    return *Refused;
  }
  const auto *ChosenService = Table->service(Service);
  auto Remote = std::make_unique<Upstream>(
      Connection, buildRequest(Target->Registered, DecisionClock::now()),
      Target, ChosenService ? ChosenService->MaxConnections : 0, Yield);
  Caller.watch([Connection] { Connection->Socket.close(); });
  ++State.Sent;
  Target->SentWhileLimited += Target->RateLimit ? 1 : 0;
  const bool MayHaveRunBefore = std::exchange(State.MayHaveRun, true);
  if (Prompt) {
    const auto InputTokens = Prompt->Input.count();
    Context.Targets.observePrompt(DecisionClock::now(), Target->Registered.Name,
                                  InputTokens);
    if (Context.AnnouncePrompt) {
      Context.AnnouncePrompt(Target->Registered.Name, InputTokens);
    }
  }
  Attempt.Sent = DecisionClock::now();
  ViewAge = Context.TargetViewAge ? Context.TargetViewAge() : Millis{-1};
  SendLoopDelay = Context.Delay.current(Attempt.Sent);
  identify();
  Attempt.Open =
      Context.Quarantine.open(Attempt.Sent, Target->Registered, *Suspects);
  if (Suspended) {
    Suspended->closeAt(Context.Loop, Attempt.Sent + internal::AcceptTimeout,
                       Connection);
  }
  Remote->send(Deadline);
  auto Result = AttemptResult::ResponseLost;
  {
    internal::ActiveEntry Listed{Context, {Connection, Caller, Attempt.Sent}};
    Result = receiveResponse(*Remote, Listed);
  }
  const bool Answered = Remote->headReceived();
  SentAttempts.push_back(
      {Target->Registered.Name, Answered ? Remote->status() : 0,
       Answered && !Remote->fields()[Context.Headers.TargetSignature].empty(),
       Result});
  if (Result == AttemptResult::NotExecuted ||
      Result == AttemptResult::WrongTarget) {
    State.MayHaveRun = MayHaveRunBefore;
  }
  return endAttempt(std::move(Remote), Result);
}

AttemptResult Exchange::endAttempt(std::unique_ptr<Upstream> Remote,
                                   AttemptResult Result) {
  if (Result == AttemptResult::TargetSilent && !Caller.gone()) {
    Caller.unwatch();
    Suspended = std::make_unique<SuspendedAttempt>(std::move(Remote),
                                                   std::exchange(Attempt, {}));
    return Result;
  }
  Next = {}; // Nobody goes on in place of this target.
  if (Result == AttemptResult::TargetSilent) {
    Result = AttemptResult::ResponseLost;
  }
  recordEnd(*Remote, Result);
  releaseTarget(*Remote);
  if (Context.Ending && Result == AttemptResult::ResponseLost) {
    Cause = "shutting_down";
    Result = AttemptResult::DeadlineExceeded;
  }
  return Caller.gone() ? AttemptResult::CallerGone : Result;
}

AttemptResult Exchange::attemptElsewhere() {
  const auto Other = Next.Target;
  if (mayReceive(Other)) {
    const int SentBefore = State.Sent;
    TriedTargets.push_back(Other->Registered.Name);
    const auto Result = attempt(Other);
    if (State.Sent > SentBefore) {
      Context.RetryBudget.observeRetry(DecisionClock::now(), Service);
      Context.Measured.count("repeats_total");
    }
    if (!Suspended || Result == AttemptResult::CallerGone ||
        Result == AttemptResult::TargetSilent) {
      return Result;
    }
    recordResult(*Other, Result);
  }
  Next = {};
  return resumeSuspended();
}

AttemptResult Exchange::resumeSuspended() {
  const auto Resumed = std::exchange(Suspended, nullptr);
  const bool Readable = Resumed->open() && !Context.Ending;
  auto Remote = Resumed->take();
  const auto Connection = Remote->connection();
  Attempt = std::move(Resumed->record());
  TriedTargets.push_back(Attempt.Target->Registered.Name);
  auto Result = AttemptResult::ResponseLost;
  Cause = "target_silent";
  if (Readable) {
    Caller.watch([Connection] { Connection->Socket.close(); });
    internal::ActiveEntry Listed{Context, {Connection, Caller, Instant::max()}};
    Result = relayStream(*Remote, LastEventTime);
  }
  return endAttempt(std::move(Remote), Result);
}

void Exchange::abandonSuspended() {
  if (!Suspended) {
    return;
  }
  const auto Abandoned = std::exchange(Suspended, nullptr);
  std::swap(Attempt, Abandoned->record());
  recordEnd(Abandoned->upstream(), AttemptResult::ResponseLost);
  recordResult(*Attempt.Target, AttemptResult::ResponseLost);
  std::swap(Attempt, Abandoned->record());
}

std::string Exchange::lossCause(const Upstream &Remote, const char *Broken) {
  if (Remote.malformed()) {
    return "answer_malformed";
  }
  return Remote.silent() ? "target_silent" : Broken;
}

AttemptResult Exchange::receiveResponse(Upstream &Remote,
                                        internal::ActiveEntry &Listed) {
  const auto AttemptId = view(Caller.request()[Context.Headers.AttemptId]);
  if (!Remote.readHead(Context.Headers.AttemptId, AttemptId)) {
    Cause = lossCause(Remote, "answer_lost");
    return DecisionClock::now() >= Deadline ? AttemptResult::DeadlineExceeded
                                            : AttemptResult::ResponseLost;
  }
  Attempt.HeadReceived = DecisionClock::now();
  Listed.endWait();
  Context.Paths->observeBytes(Attempt.HeadReceived, *Remote.connection());
  if (Attempt.Open) {
    Context.Quarantine.openAnswers().begin(Attempt.HeadReceived, *Attempt.Open);
  }
  Attempt.TimeToFirstByte = Attempt.HeadReceived - Attempt.Sent;
  recordRateLimit(Remote);
  recordTargetState(Remote);
  const auto &Fields = Remote.fields();
  const bool NotExecuted =
      Fields.find(Context.Headers.NotExecuted) != Fields.end();
  recordRetryAfter(Remote);
  if (Remote.status() == 421 || NotExecuted) {
    recordRejection(Remote);
    std::string Discarded;
    if (!Remote.readAll(Discarded, MaxDiscardedBytes)) {
      Remote.connection()->Socket.close();
    }
    Cause = "target_refused";
    return Remote.status() == 421 ? AttemptResult::WrongTarget
                                  : AttemptResult::NotExecuted;
  }
  if (Fields[Context.Headers.TargetSignature].empty()) {
    Cause = "answer_without_receipt";
    return AttemptResult::ResponseLost;
  }
  if (Caller.started() && Remote.status() / 100 != 5 &&
      !continuesStream(Remote)) {
    Cause = "resume_failed";
    return AttemptResult::ResponseLost;
  }
  if (MatchedRoute->Retry == routing::RetryClass::Stream &&
      Remote.status() / 100 == 2) {
    abandonSuspended();
    Framer.beginConnection();
    return relayStream(Remote, DecisionClock::now());
  }
  return forwardBuffered(Remote);
}

void Exchange::releaseTarget(Upstream &Remote) {
  // Another request may use the connection from now on.
  Caller.unwatch();
  Remote.release(Context.Connections);
}

bool Exchange::continuesStream(Upstream &Remote) const {
  return Remote.status() / 100 == 2 &&
         view(Remote.fields()[wire::field::content_type]) == StreamContentType;
}

void Exchange::reportUnreadable(Upstream &Remote, std::string_view Event) {
  if (const auto Omitted =
          Context.UnreadableFieldLines.admit(DecisionClock::now())) {
    log(LogLevel::Warn, Event,
        {{"target", Remote.target().Registered.Name.str()},
         {"left_out", *Omitted}});
  }
}

void Exchange::recordRateLimit(Upstream &Remote) {
  const auto &Fields = Remote.fields();
  const auto Field = Fields.find(Context.Headers.RateLimit);
  const auto Stated = Field == Fields.end()
                          ? std::nullopt
                          : RequestRate::parse(view(Field->value()));
  if (Field != Fields.end() && !Stated) {
    // The target is limited still; what it stated before holds.
    reportUnreadable(Remote, "target.limit_unreadable");
    return;
  }
  // Another target that answers at the address says nothing about this one, nor
  // does a response without a signature.
  const bool FromTarget =
      Stated ? Remote.status() != 421
             : !Fields[Context.Headers.TargetSignature].empty();
  if (FromTarget) {
    Context.Permits.observe(Remote.target(), Stated, Attempt.Sent);
  }
}

void Exchange::observeReturn() {
  const auto Now = DecisionClock::now();
  if (const auto Return = Context.Targets.firstReturn(Now, Service)) {
    const auto Wait = *Return - Now;
    PermitWait = std::min(PermitWait.value_or(Wait), Wait);
    Cause = "targets_paused";
  }
}

void Exchange::recordRetryAfter(Upstream &Remote) {
  const auto Text = view(Remote.fields()[wire::field::retry_after]);
  if (Remote.status() != internal::StatusUnavailable || Text.empty()) {
    return;
  }
  const auto Name = Remote.target().Registered.Name.str();
  const auto Wait = parseRetryAfter(Text, std::chrono::system_clock::now());
  if (!Wait) {
    reportUnreadable(Remote, "target.retry_after_unreadable");
    return;
  }
  // VMs that were refused at the same moment must not return at the same one.
  const auto Spread = std::min(*Wait / internal::ReturnSpreadDivisor,
                               internal::MaxReturnSpread);
  const auto Until =
      DecisionClock::now() + *Wait +
      std::chrono::duration_cast<Millis>(Spread * Context.draw());
  auto &Target = Remote.target();
  if (std::exchange(Target.NoRequestsUntil,
                    std::max(Target.NoRequestsUntil, Until)) <
      DecisionClock::now()) {
    log(LogLevel::Info, "target.paused",
        {{"target", Name}, {"wait_ms", Wait->count()}});
  }
}

void Exchange::recordRejection(Upstream &Remote) {
  const auto Text = view(Remote.fields()[Context.Headers.Brittle]);
  if (Remote.status() != internal::StatusUnavailable || Text.empty()) {
    return;
  }
  const auto Limit = RequestRate::parse(Text);
  const auto &Registered = Remote.target().Registered;
  if (!Limit) {
    reportUnreadable(Remote, "target.brittle_unreadable");
  }
  // A limit that can't be read is taken for the strictest one.
  const auto Pause = backend::rejectionPause(Limit ? Limit->perSecond() : 0);
  Context.Targets.pause(
      hashOf(Registered.Name.str()), Registered.Incarnation,
      DecisionClock::now() +
          std::chrono::duration_cast<Millis>(Pause * (1.0 + Context.draw())));
  if (Context.AnnounceFull) {
    Context.AnnounceFull(Registered, Pause);
  }
}

void Exchange::recordTargetState(Upstream &Remote) {
  const auto Text = view(Remote.fields()[Context.Headers.Leaving]);
  // Status 421 comes from another target at the address.
  if (Remote.status() == 421 || Text != Context.Headers.LeavingText) {
    return;
  }
  const auto &Registered = Remote.target().Registered;
  if (Context.Targets.markLeaving(DecisionClock::now(),
                                  hashOf(Registered.Name.str()),
                                  Registered.Incarnation)) {
    log(LogLevel::Info, "target.told_leaving",
        {{"target", Registered.Name.str()}, {"source", "target"}});
    if (Context.AnnounceLeaving) {
      Context.AnnounceLeaving(Registered);
    }
  }
}

bool Exchange::readBody(Upstream &Remote, std::string &Body) {
  while (!Remote.complete()) {
    if (!Remote.readSome(Body)) {
      Cause = lossCause(Remote, "answer_broken");
      return false;
    }
    if (Body.size() > internal::MaxBodyBytes) {
      Cause = "answer_too_long";
      return false;
    }
    if (!ResponseShare.resize(Body.size())) {
      Cause = "buffers_full";
      return false;
    }
  }
  return true;
}

AttemptResult Exchange::forwardBuffered(Upstream &Remote) {
  std::string Body;
  if (!readBody(Remote, Body)) {
    return DecisionClock::now() >= Deadline ? AttemptResult::DeadlineExceeded
                                            : AttemptResult::ResponseLost;
  }
  if (Remote.status() >= 500 || misleads(State, Remote.status())) {
    FailureStatus = Remote.status();
    FailureFields = Remote.fields();
    FailureBody = std::move(Body);
    Cause = "target_failed";
    return AttemptResult::Failed;
  }
  ResponseStatus = Remote.status();
  const WireFields Fields = Remote.fields();
  if (ResponseStatus / 100 == 2) {
    recordSoundAnswer(); // An error need not tell that the request was run.
  }
  releaseTarget(Remote);
  Caller.reply(Yield, ResponseStatus, Fields, Body,
               Deadline + internal::DefaultTimeout);
  return AttemptResult::Completed;
}

AttemptResult Exchange::relayStream(Upstream &Remote, Instant SilentSince) {
  const WireFields Fields = Remote.fields();
  const int Status = Remote.status();
  std::string Bytes;
  ReplacementSearch Search{Context};
  SilenceWatch Silence{
      Context.Loop, Remote.connection(),
      [this, &Remote, &Search] { return observeSilence(Remote, Search); },
      Context.Delay, SilentSince};
  while (!Remote.complete()) {
    Bytes.clear();
    Silence.beginRead(SilentSince);
    const bool ReadOk = Remote.readSome(Bytes);
    Silence.endRead();
    SilentSince = DecisionClock::now();
    if (Silence.left() && ReadOk) { // The target has gone on just now.
      Next = {};
      Silence.resume(DecisionClock::now());
    }
    const auto Batch = Framer.feed(Bytes);
    const bool Held = ResponseShare.resize(Framer.bufferedBytes());
    if (ReadOk) {
      Context.Paths->observeBytes(DecisionClock::now(), *Remote.connection());
    }
    recordEvents(Remote, Batch.Count);
    // Another target continues behind the last of these events, so they are
    // passed on even if this connection can't be read further.
    if (!Batch.Bytes.empty()) {
      passOn(Status, Fields, Batch.Bytes);
    }
    if (Batch.Oversized || Batch.Gap) {
      Cause = Batch.Oversized ? "event_endless" : "event_missing";
      return AttemptResult::ResponseLost;
    }
    if (!Held) {
      Cause = "buffers_full";
      return AttemptResult::ResponseLost;
    }
    if (!ReadOk && Silence.left() && Remote.written()) {
      Cause = "target_silent";
      return AttemptResult::TargetSilent;
    }
    if (!ReadOk) {
      Cause =
          Silence.left() ? "target_silent" : lossCause(Remote, "stream_broken");
      return DecisionClock::now() >= Deadline ? AttemptResult::DeadlineExceeded
                                              : AttemptResult::ResponseLost;
    }
  }
  if (Framer.hasPartial() || !Framer.heldIsWellFormed()) {
    Cause = Framer.hasPartial() ? "stream_broken" : "event_missing";
    return AttemptResult::ResponseLost;
  }
  passOn(Status, Fields, Framer.takeHeld());
  recordSoundAnswer();
  releaseTarget(Remote);
  Caller.finish(Yield, Deadline);
  return AttemptResult::Completed;
}

void Exchange::recordEvents(Upstream &Remote, std::uint64_t Count) {
  EventsForwarded += Count;
  if (Count > 0) {
    recordEventTimes();
    if (LastEventTime - Attempt.HeadReceived >= internal::SoundAnswer) {
      recordSoundAnswer();
    }
  }
  if (!Attempt.EvidenceRecorded && State.Sent == 1 &&
      EventsForwarded >= internal::EventsForEvidence) {
    // A slow stream would tell of itself last.
    recordEvidence(Remote.target(), false);
  }
}

void Exchange::passOn(int Status, const WireFields &Fields,
                      std::string_view Events) {
  if (!Caller.started()) {
    ResponseStatus = Status;
    StreamContentType = std::string{view(Fields[wire::field::content_type])};
    Caller.start(Yield, Status, Fields, Deadline);
  }
  Caller.write(Yield, Events, Deadline);
}

std::shared_ptr<backend::Target> Exchange::replacement() {
  const auto Now = DecisionClock::now();
  // While the VM shuts down, the next attempt might not end in time.
  if (Context.Shutdown || !Caller.started() || !State.Resumable ||
      State.Sent >= State.MaxAttempts || suspect() ||
      !Context.RetryBudget.allows(Now, Service)) {
    return nullptr;
  }
  auto Wanted = targetRequest();
  auto Other = pickTarget(Wanted, Context.draw());
  // A target with a rate limit may refuse its permit.
  const bool Usable = Other && !Other->RateLimit && !Other->missing() &&
                      Now >= Other->PausedUntil && Now >= Other->FullUntil;
  return Usable ? Other : nullptr;
}

std::string_view Exchange::quarantineCause() {
  if (ProvenSound || Context.Quarantine.empty()) {
    return {};
  }
  identify();
  const auto Now = DecisionClock::now();
  const auto Refuses = [&](const notices::SharedQuarantine::Suspects &Own) {
    return Context.Quarantine.judge(Now, Own) == quarantine::Verdict::Refused;
  };
  if (!Refuses(Suspects->all())) {
    return {};
  }
  return Refuses({Suspects->Request}) ? "request_quarantined"
                                      : "prompt_quarantined";
}

bool Exchange::suspect() {
  if (ProvenSound || Context.Quarantine.empty()) {
    return false;
  }
  identify();
  return Context.Quarantine.judge(DecisionClock::now(), Suspects->all()) !=
         quarantine::Verdict::Sound;
}

bool Exchange::observeSilence(Upstream &Remote, ReplacementSearch &Search) {
  if (Attempt.Open && Context.ProbeTarget) {
    Context.ProbeTarget(Remote.target().Registered);
  }
  const auto Other = replacement();
  if (!Other) {
    return false;
  }
  if (!Search.found()) {
    Search.begin(Other);
    return false;
  }
  Next = Search.take();
  if (!mayReceive(Next.Target)) {
    Next = {};
  }
  return Next.Target != nullptr;
}

void Exchange::recordEnd(Upstream &Remote, AttemptResult Result) {
  const auto Key = std::exchange(Attempt.Open, std::nullopt);
  if (!Key) {
    return;
  }
  const bool Lost = Result == AttemptResult::ResponseLost ||
                    Result == AttemptResult::DeadlineExceeded;
  // Bytes that are no answer were sent by a target that is running, and this VM
  // itself ends attempts when it stops.
  if (!Lost || Remote.malformed() || Context.Ending) {
    Context.Quarantine.openAnswers().close(*Key);
    if (Result == AttemptResult::WrongTarget) {
      Context.Quarantine.reportEnd(DecisionClock::now(),
                                   Remote.target().Registered,
                                   notices::EndSign::Replaced);
    }
    return;
  }
  if (Remote.brokenOff() && Remote.headReceived() && targetBrokeOff(Remote)) {
    Context.Quarantine.openAnswers().close(*Key);
    Context.Quarantine.reportCrash(DecisionClock::now(),
                                   Remote.target().Registered, *Suspects);
    return;
  }
  Context.Quarantine.openAnswers().lose(DecisionClock::now(), *Key);
  if (Remote.brokenOff() && Context.ProbeTarget) {
    Context.ProbeTarget(Remote.target().Registered);
  }
}

bool Exchange::targetBrokeOff(Upstream &Remote) {
  const auto Known = Context.Paths->verify(Yield, Remote.target().Registered);
  return Known == TargetState::Running || Known == TargetState::Ended;
}

void Exchange::recordSoundAnswer() {
  if (const auto Key = std::exchange(Attempt.Open, std::nullopt)) {
    ProvenSound = true;
    Context.Quarantine.openAnswers().close(*Key);
    Context.Quarantine.reportAnswer(DecisionClock::now(), *Suspects);
  }
}

void Exchange::recordEventTimes() {
  const auto Now = DecisionClock::now();
  if (FirstEventTime == Instant{}) {
    FirstEventTime = Now;
    Attempt.TimeToFirstByte = Now - Attempt.Sent;
    if (Prompt && State.Sent == 1) {
      Context.Targets.observePrefillTime(Prompt->Input.count(),
                                         Now - Caller.arrival());
    }
    Context.Measured.observe(
        "first_event_seconds",
        std::chrono::duration<double>(Now - Caller.arrival()).count());
  } else {
    LongestEventGap = std::max(LongestEventGap, Now - LastEventTime);
  }
  LastEventTime = Now;
}

Millis Exchange::meanEventGap() const {
  // The events of a resumed stream come from two targets.
  const bool OneTarget = State.Sent == 1;
  if (!OneTarget || EventsForwarded < internal::MinEventsForGap) {
    return Millis{0};
  }
  return (LastEventTime - FirstEventTime) /
         static_cast<std::int64_t>(EventsForwarded - 1);
}

void Exchange::recordEvidence(const backend::Target &Target, bool Failed) {
  const auto ShiftEntry = Context.TrafficShifts.find(Service);
  if (ShiftEntry == Context.TrafficShifts.end()) {
    return;
  }
  auto &Shift = ShiftEntry->second;
  if (!std::exchange(Attempt.EvidenceRecorded, true)) {
    Shift.observe({MatchedRoute->Name, Target.Registered.Version, Failed,
                   Attempt.TimeToFirstByte, meanEventGap()});
  } else if (Failed) {
    Shift.observeLateFailure(Target.Registered.Version);
  }
}

void Exchange::recordResult(backend::Target &Target, AttemptResult Result) {
  const auto Now = DecisionClock::now();
  // What fails while this VM is cut off is no evidence against a target.
  const bool OwnLinksDown = Context.Paths->cutOff();
  const bool MayHaveRun = Result == AttemptResult::Completed ||
                          Result == AttemptResult::Failed ||
                          Result == AttemptResult::ResponseLost ||
                          Result == AttemptResult::DeadlineExceeded;
  if (MayHaveRun && (Result == AttemptResult::Completed || !OwnLinksDown)) {
    // A refusal that was passed on did not state that nothing was executed.
    recordEvidence(Target, Result != AttemptResult::Completed ||
                               promisesNotRun(ResponseStatus));
  }
  switch (Result) {
  case AttemptResult::Completed:
  case AttemptResult::Failed:
    Target.ConsecutiveFailures = 0;
    break;
  case AttemptResult::Unreachable:
  case AttemptResult::ResponseLost:
    if (!OwnLinksDown) {
      Target.recordFailure(Now);
    }
    break;
  case AttemptResult::NotExecuted:
    Target.FullUntil = Now + internal::FullBackoff;
    break;
  case AttemptResult::WrongTarget:
    Target.PausedUntil = Now + backend::Target::MinBackoff;
    break;
  case AttemptResult::TargetLeft:
  case AttemptResult::Quarantined:
  case AttemptResult::ViewOutdated:
  case AttemptResult::TargetSilent: // Recorded when it is given up.
  case AttemptResult::DeadlineExceeded:
  case AttemptResult::CallerGone:
    break;
  }
}

WireRequest Exchange::buildRequest(const backend::Registration &Registration,
                                   Instant Now) const {
  const auto &Headers = Context.Headers;
  WireRequest Request = Caller.request();
  for (const auto &Token : wire::token_list{Request[wire::field::connection]}) {
    Request.erase(Token);
  }
  for (const auto Field :
       {wire::field::connection, wire::field::keep_alive,
        wire::field::proxy_connection, wire::field::te, wire::field::trailer,
        wire::field::upgrade, wire::field::transfer_encoding,
        wire::field::expect, wire::field::authorization}) {
    Request.erase(Field);
  }
  for (const auto &Name : Headers.ProxyOnly) {
    Request.erase(Name);
  }
  if (Workspace != nullptr) {
    Request.set(Headers.Workspace, Workspace->Name.str());
  }
  if (Prompt) {
    const int Priority = Workspace != nullptr && Workspace->Priority
                             ? *Workspace->Priority
                             : MatchedRoute->Priority;
    Request.set(Headers.Priority, std::to_string(std::clamp(Priority, 0, 9)));
  }
  if (Framer.lastId() > 0) {
    Request.set(Headers.LastEventId, std::to_string(Framer.lastId()));
  }
  Request.set(Headers.RemainingTime, std::to_string((Deadline - Now).count()));
  Request.set(Headers.ExpectedTarget, Registration.Name.str());
  Request.version(11);
  if (!Request.body().empty() || Request.method() != wire::verb::get) {
    Request.content_length(Request.body().size());
  }
  return Request;
}

Millis Exchange::retryDelay() {
  return Millis{static_cast<std::int64_t>(
      static_cast<double>(internal::MinRetryDelay.count()) *
      (1.0 + Context.draw()))};
}

void Exchange::conclude(NextStep Step) {
  switch (Step) {
  case NextStep::Stop:
  case NextStep::Retry:
    if (LastResult == AttemptResult::CallerGone) {
      Cause = "caller_gone";
      Caller.abort();
    }
    return;
  case NextStep::Reject:
    // Callers that are told the same delay must not return at the same moment.
    reject(503, Cause,
           std::max(retryDelay(), std::chrono::duration_cast<Millis>(
                                      PermitWait.value_or(Millis{0}) *
                                      (1.0 + Context.draw()))));
    return;
  case NextStep::ForwardFailure:
    if (misleads(State, FailureStatus)) {
      Context.Measured.count("responses_replaced_total{status=\"" +
                             std::to_string(FailureStatus) + "\"}");
      reject(502, "refusal_unproven");
      return;
    }
    ResponseStatus = FailureStatus;
    Caller.reply(Yield, FailureStatus, FailureFields, FailureBody,
                 DecisionClock::now() + internal::DefaultTimeout);
    return;
  case NextStep::ReportUnknown:
    reject(502, Cause);
    return;
  case NextStep::ReportTimeout:
    reject(504, Cause);
    return;
  case NextStep::AbortResponse:
    Caller.abort();
    return;
  }
}

void Exchange::reject(int Status, std::string_view Reason,
                      std::optional<Millis> RetryAfter) {
  Cause = std::string{Reason};
  ResponseStatus = Status;
  WireFields Fields;
  Fields.set(wire::field::content_type, "application/json");
  if (const auto AttemptId = Caller.request()[Context.Headers.AttemptId];
      !AttemptId.empty()) {
    Fields.set(Context.Headers.AttemptId, AttemptId);
  }
  if (RetryAfter) {
    std::array<char, 32> Text{};
    const double Seconds = std::chrono::duration<double>(*RetryAfter).count();
    const auto Length =
        std::snprintf(Text.data(), Text.size(), "%.3f", Seconds);
    Fields.set(
        wire::field::retry_after,
        beast::string_view(Text.data(), static_cast<std::size_t>(Length)));
  }
  const std::string Body = R"({"error":")" + Cause + R"("})";
  Caller.reply(Yield, Status, Fields, Body,
               DecisionClock::now() + internal::DefaultTimeout);
}

void Exchange::settle() {
  if (ReservedTokens == Tokens{}) {
    return;
  }
  // A workspace is charged for what its caller received: nothing for a
  // response that never began, and once for a request that was retried.
  Tokens Spent;
  if (EventsForwarded > 0) {
    const auto Output =
        Tokens{TokensPerEvent} * static_cast<std::int64_t>(EventsForwarded);
    Spent = Prompt->Input + std::min(Output, Prompt->MaxOutput);
  } else if (ResponseStatus / 100 == 2) {
    Spent = ReservedTokens; // Its events had no ids, so they were not counted.
  }
  Context.Budgets.settle(Workspace->Name, ReservedTokens, Spent);
  ReservedTokens = Tokens{};
}

void Exchange::reportCut() const {
  const auto Now = DecisionClock::now();
  Context.Measured.count("responses_cut_total{cause=\"" + Cause + "\"}");
  const auto Omitted = Context.CutLines.admit(Now);
  if (!Omitted) {
    return;
  }
  log(LogLevel::Warn, "response.cut",
      {{"request",
        std::string{view(Caller.request()[Context.Headers.AttemptId])}},
       {"route", MatchedRoute == nullptr ? "" : MatchedRoute->Name.str()},
       {"cause", Cause},
       {"target", TriedTargets.empty() ? "" : TriedTargets.back().str()},
       {"sent", static_cast<std::int64_t>(State.Sent)},
       {"events", static_cast<std::int64_t>(EventsForwarded)},
       {"silent_ms", LastEventTime == Instant{}
                         ? std::int64_t{-1}
                         : (Now - LastEventTime).count()},
       {"took_ms", (Now - Caller.arrival()).count()},
       {"left_ms", (Deadline - Now).count()},
       {"stalled_ms", Context.Delay.stalledSince(Caller.arrival()).count()},
       {"config",
        Table ? static_cast<std::int64_t>(Table->version()) : std::int64_t{-1}},
       {"config_now", Context.Table
                          ? static_cast<std::int64_t>(Context.Table->version())
                          : std::int64_t{-1}},
       {"left_out", *Omitted}});
}

std::string Exchange::SentAttempt::str() const {
  return Target.str() + ' ' + std::to_string(Status) + ' ' +
         (Signed ? "signed " : "") + std::string{toString(Result)};
}

void Exchange::reportRefusal() const {
  Context.countRefusal(ResponseStatus, State.Sent > 0);
  if (State.Sent == 0) {
    return;
  }
  const auto Omitted = Context.RefusalLines.admit(DecisionClock::now());
  if (!Omitted) {
    return;
  }
  std::string Statements;
  for (const auto &Sent : SentAttempts) {
    Statements += (Statements.empty() ? "" : ", ") + Sent.str();
  }
  log(LogLevel::Info, "request.refused",
      {{"request",
        std::string{view(Caller.request()[Context.Headers.AttemptId])}},
       {"route", MatchedRoute->Name.str()},
       {"status", static_cast<std::int64_t>(ResponseStatus)},
       {"cause", Cause},
       {"may_repeat", retryable(State)},
       {"attempts", Statements},
       {"left_out", *Omitted}});
}

void Exchange::logResult() const {
  if (Caller.unfinished()) {
    reportCut();
  }
  if (promisesNotRun(ResponseStatus)) {
    reportRefusal();
  }
  Context.Measured.count(ResponseStatus != 0 && ResponseStatus < 300
                             ? "requests_total{outcome=\"ok\"}"
                             : "requests_total{outcome=\"" + Cause + "\"}");
  logRequest(
      ResponseStatus / 100 == 2 && Cause.empty(),
      {{"request",
        std::string{view(Caller.request()[Context.Headers.AttemptId])}},
       {"route", MatchedRoute == nullptr ? "" : MatchedRoute->Name.str()},
       {"workspace", Workspace == nullptr ? "" : Workspace->Name.str()},
       {"status", static_cast<std::int64_t>(ResponseStatus)},
       {"target_status", static_cast<std::int64_t>(FailureStatus)},
       {"cause", Cause},
       {"fingerprint",
        Suspects ? std::to_string(Suspects->Request.Hash) : std::string{}},
       {"sent", static_cast<std::int64_t>(State.Sent)},
       {"unreachable", static_cast<std::int64_t>(State.Unreachable)},
       {"target", TriedTargets.empty() ? "" : TriedTargets.back().str()},
       {"events", static_cast<std::int64_t>(EventsForwarded)},
       {"input", Prompt ? Prompt->Input.count() : 0},
       {"first_ms", FirstEventTime == Instant{}
                        ? std::int64_t{-1}
                        : (FirstEventTime - Caller.arrival()).count()},
       {"gap_ms", LongestEventGap.count()},
       {"sent_ms", Attempt.Sent == Instant{}
                       ? std::int64_t{-1}
                       : (Attempt.Sent - Caller.arrival()).count()},
       {"view_ms", ViewAge.count()},
       {"loop_ms", SendLoopDelay.count()},
       {"took_ms", (DecisionClock::now() - Caller.arrival()).count()},
       {"left_ms", (Deadline - DecisionClock::now()).count()},
       {"stop_ms",
        Context.Shutdown
            ? (DecisionClock::now() - Context.Shutdown->signalTime()).count()
            : std::int64_t{-1}},
       {"config", Table ? static_cast<std::int64_t>(Table->version())
                        : std::int64_t{-1}}});
}

} // namespace goldcrestnotch::proxy
