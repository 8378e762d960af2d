/// @file
/// Forwarding. The request is written and the answer read at the same time,
/// since a target may answer before it has read all.

#include "goldcrestnotch/proxy/exchange.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

#include <boost/beast/http.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/escrow/come_back.hpp"
#include "goldcrestnotch/telemetry/log.hpp"
#include "goldcrestnotch/telemetry/request_log.hpp"

namespace goldcrestnotch::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace wire = boost::beast::http;

namespace internal {

/// To open a connection to a target; they stand in the same region.
static constexpr Millis ConnectWait{250};
/// Longest wait for tokens of a budget that others hold.
static constexpr Millis BudgetWait{250};
/// An answer's way to the caller, taken off its deadline.
static constexpr Millis AnswerMargin{15};
/// Answers of targets take so long at the least.
static constexpr Millis LeastWork{20};
/// A caller without a deadline is served for as long as its route allows.
static constexpr Millis DefaultTimeout{30'000};
/// A resumable stream that is silent for so long goes on at another target.
static constexpr Millis StallWait{1'600};
/// Refused callers come back after this and up to twice of it.
static constexpr Millis ComeBackLeast{150};
/// A kept connection is not used in the last part of its idle timeout.
static constexpr Millis ReuseMargin{1'000};
/// The same where the target states no timeout of a second or more.
static constexpr Millis ReuseUnstated{150};
/// After a failure a target goes last for this long, doubling.
static constexpr Millis PauseLeast{250};
static constexpr std::uint32_t PauseDoublings = 4;
/// A target that refused for want of room goes last for this long.
static constexpr Millis FullPause{100};
/// Late answers to other requests that are passed over on one connection.
static constexpr int MostStale = 3;
static constexpr std::size_t ReadBytes = 16'384;
/// A whole answer that is longer is no answer: a VM has 160 MB for all.
static constexpr std::size_t MostBody = 4U << 20U;
/// The same for an answer to another request, which is passed over.
static constexpr std::size_t MostStaleBody = 64U << 10U;
static constexpr std::string_view KeyScheme = "Bearer ";

[[nodiscard]] static std::optional<Millis> millisOf(std::string_view Text) {
  std::int64_t Count = 0;
  const auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  if (Failure != std::errc{} || End == Text.data()) {
    return std::nullopt;
  }
  return Millis{Count};
}

[[nodiscard]] static std::string_view view(beast::string_view Text) {
  return {Text.data(), Text.size()};
}

/// @brief How long a connection may idle by its target's word.
[[nodiscard]] static Millis idleSpan(const WireFields &Fields) {
  const auto Text = view(Fields[wire::field::keep_alive]);
  const auto At = Text.find("timeout=");
  if (At == std::string_view::npos) {
    return ReuseUnstated;
  }
  const auto Stated = millisOf(Text.substr(At + 8));
  return Stated ? std::max(*Stated * 1'000 - ReuseMargin, ReuseUnstated)
                : ReuseUnstated;
}

} // namespace internal

/// @brief One try: a connection, the request on its way, the answer.
class Exchange::Upstream {
public:
  using Parser = wire::response_parser<wire::buffer_body>;

  Upstream(std::shared_ptr<Link> Over, WireRequest Asked,
           std::shared_ptr<backend::Target> To, asio::yield_context Yield)
      : Over{std::move(Over)}, To{std::move(To)}, Yield{Yield},
        Sending{std::make_shared<Outgoing>()} {
    Sending->Message = std::move(Asked);
    ++this->To->InProgress;
  }

  ~Upstream() {
    if (!Released) {
      Over->Socket.close();
    }
    --To->InProgress;
  }
  Upstream(const Upstream &) = delete;
  Upstream &operator=(const Upstream &) = delete;

  [[nodiscard]] std::shared_ptr<Link> link() noexcept { return Over; }
  [[nodiscard]] const WireFields &fields() const { return Answer->get(); }
  [[nodiscard]] int status() const {
    return static_cast<int>(Answer->get().result_int());
  }
  [[nodiscard]] bool done() const { return Answer->is_done(); }

  void send(Instant Until) {
    Over->Socket.expires_at(socketTime(Until));
    auto Kept = Sending;
    auto Held = Over;
    wire::async_write(Over->Socket, Kept->Message,
                      [Kept, Held](const boost::system::error_code &Failure,
                                   std::size_t) { Kept->Written = !Failure; });
  }

  /// @brief Reads the head of the answer to this request; answers to others
  /// that come late are passed over.
  /// @return False if the connection fails first.
  [[nodiscard]] bool readHead(const std::string &AttemptName,
                              std::string_view Attempt) {
    for (int Stale = 0; Stale <= internal::MostStale; ++Stale) {
      Answer.emplace();
      Answer->body_limit(std::numeric_limits<std::uint64_t>::max());
      boost::system::error_code Failure;
      wire::async_read_header(Over->Socket, Over->Buffer, *Answer,
                              Yield[Failure]);
      if (Failure) {
        return false;
      }
      const auto Echo = Answer->get()[AttemptName];
      if (internal::view(Echo) == Attempt || (Echo.empty() && Stale == 0)) {
        return true;
      }
      std::string Discarded;
      if (!readAll(Discarded, internal::MostStaleBody) ||
          !Answer->keep_alive()) {
        return false;
      }
    }
    return false;
  }

  /// @brief Reads more of the body.
  /// @return False if the connection fails before the end.
  [[nodiscard]] bool readSome(std::string &Into) {
    Piece.resize(internal::ReadBytes);
    Answer->get().body().data = Piece.data();
    Answer->get().body().size = Piece.size();
    Answer->get().body().more = true;
    boost::system::error_code Failure;
    wire::async_read_some(Over->Socket, Over->Buffer, *Answer, Yield[Failure]);
    Into.append(Piece, 0, Piece.size() - Answer->get().body().size);
    return !Failure || Failure == wire::error::need_buffer;
  }

  /// @return False if the connection fails, or more than `Most` comes.
  [[nodiscard]] bool readAll(std::string &Into, std::size_t Most) {
    while (!Answer->is_done()) {
      if (!readSome(Into) || Into.size() > Most) {
        return false;
      }
    }
    return true;
  }

  /// @brief Gives the connection back if it can carry another request.
  void release(LinkPool &Links) {
    if (std::exchange(Released, true)) {
      return;
    }
    const bool Clean = Answer && Answer->is_done() && Answer->keep_alive() &&
                       !Answer->need_eof() && Sending->Written &&
                       Over->Buffer.size() == 0;
    if (!Clean) {
      Over->Socket.close();
      return;
    }
    Over->ReuseDeadline = DecisionClock::now() + internal::idleSpan(fields());
    Links.put(To->Registered, Over);
  }

private:
  struct Outgoing {
    WireRequest Message;
    bool Written = false;
  };

  std::shared_ptr<Link> Over;
  std::shared_ptr<backend::Target> To;
  asio::yield_context Yield;
  std::shared_ptr<Outgoing> Sending; ///< Outlives a write that is cancelled.
  std::optional<Parser> Answer;
  std::string Piece;
  bool Released = false;
};

Exchange::Exchange(Environment &Shared, CallerLink &From,
                   asio::yield_context Yield)
    : Shared{Shared}, From{From}, Yield{Yield}, Table{Shared.Table} {
  ++Shared.InProgress;
}

Exchange::~Exchange() {
  From.unwatch();
  --Shared.InProgress;
}

void Exchange::run() {
  if (Shared.Draining) {
    From.closeAfter();
  }
  try {
    if (route() && authenticate() && reserve()) {
      forward();
      settle();
    }
  } catch (const boost::system::system_error &) {
    // The caller's connection failed; there is nobody to answer.
    Cause = "caller_lost";
    settle();
    From.abort();
  }
  report();
}

bool Exchange::route() {
  const auto &Asked = From.request();
  if (Shared.Closing) {
    refuse(503, "shutting_down", comeBack());
    return false;
  }
  if (!Table) {
    refuse(503, "no_configuration", comeBack());
    return false;
  }
  const auto Target = internal::view(Asked.target());
  Chosen = Table->find(internal::view(Asked[wire::field::host]),
                       Target.substr(0, Target.find('?')));
  if (Chosen == nullptr) {
    refuse(404, "no_route");
    return false;
  }
  if (Asked[Shared.Names.Attempt].empty()) {
    refuse(400, "no_attempt_id");
    return false;
  }
  Service = routing::RouteTable::chooseService(*Chosen, Shared.draw());
  Shape = Shared.Names.Shape(Asked);
  State.Kind = Chosen->Retry;
  State.Resumable = Chosen->Resumable;
  State.MostAttempts = Chosen->MaxAttempts;
  const auto Span =
      Chosen->Timeout > Millis{0} ? Chosen->Timeout : internal::DefaultTimeout;
  Until = From.arrival() + Span;
  if (const auto Left = internal::millisOf(
          internal::view(Asked[Shared.Names.DeadlineLeft]))) {
    Until = std::min(Until, From.arrival() + *Left - internal::AnswerMargin);
  }
  if (!Shared.Delay.reaches(DecisionClock::now(), Until, internal::LeastWork)) {
    From.closeAfter(); // The caller may choose another VM.
    refuse(503, "loop_delayed", comeBack());
    return false;
  }
  std::uint64_t After = 0;
  const auto Resume = internal::view(Asked[Shared.Names.ResumeAfter]);
  std::from_chars(Resume.data(), Resume.data() + Resume.size(), After);
  Events = EventFramer{After};
  return true;
}

bool Exchange::authenticate() {
  if (!Table->source().KeyRequired) {
    return true;
  }
  auto Key = internal::view(From.request()[wire::field::authorization]);
  if (Key.starts_with(internal::KeyScheme)) {
    Key.remove_prefix(internal::KeyScheme.size());
    Owner = Table->workspaceByKey(Key);
  }
  if (Owner == nullptr && !Chosen->Public) {
    refuse(401, "unknown_key");
    return false;
  }
  return true;
}

bool Exchange::reserve() {
  if (Owner == nullptr || !Owner->Prepaid || !Shape) {
    return true;
  }
  const auto *Runs = Table->service(Service);
  EventTokens =
      Runs != nullptr && Runs->Engine ? Runs->Engine->MaxTokensPerEvent : 1;
  const Tokens Bound = Shape->Input + Shape->MostOutput;
  const auto Wait = std::min(Until, From.arrival() + internal::BudgetWait);
  switch (
      Shared.Budgets.admit(Yield, Owner->Name, *Owner->Prepaid, Bound, Wait)) {
  case escrow::Admission::Admitted:
    Reserved = Bound;
    return true;
  case escrow::Admission::Exhausted:
    refuse(402, "budget_exhausted");
    return false;
  case escrow::Admission::Short:
    refuse(503, "budget_elsewhere",
           escrow::comeBackAfter(Shared.StoreAway(), Shared.draw()));
    return false;
  }
  return false;
}

void Exchange::forward() {
  Shared.Retries.observeRequest(DecisionClock::now(), Service);
  auto Step = NextStep::Again;
  while (Step == NextStep::Again) {
    const auto Now = DecisionClock::now();
    const auto To = choose(Now);
    if (!To) {
      Cause = "no_target";
      // Nothing else to try: what the last try led to stands.
      State.MostAttempts = State.Sent;
      Step = State.Sent == 0 ? NextStep::Refuse : nextStep(State, LastEnd);
      break;
    }
    Tried.push_back(To->Registered.Name);
    LastEnd = tryOnce(To);
    if (LastEnd == TryEnd::Done) {
      Cause.clear(); // Of a try before.
    }
    judge(*To, LastEnd);
    State.Begun = From.started();
    State.RetryAllowed = Shared.Retries.allows(DecisionClock::now(), Service);
    Step = nextStep(State, LastEnd);
    if (Step == NextStep::Again && State.Sent > 0) {
      Shared.Retries.observeRetry(DecisionClock::now(), Service);
      Shared.Measured.count("repeats_total");
    }
  }
  conclude(Step);
}

std::shared_ptr<backend::Target> Exchange::choose(Instant Now) {
  backend::TargetRequest Wanted{
      Service,
      Shape && Chosen->PrefixAffinity ? Shape->Shared : std::string_view{},
      Tried, Shape ? Shape->Input.count() : 0,
      Shape ? Shape->SharedInput.count() : 0};
  const auto Move = Shared.Moves.find(Service);
  if (Move == Shared.Moves.end()) {
    return Shared.Targets.pick(Now, Wanted);
  }
  const bool New = Move->second.chooses(Shared.draw());
  Wanted.Version = {Move->second.version(), New};
  auto Found = Shared.Targets.pick(Now, Wanted);
  if (!Found && Move->second.end() == MoveOutcome::InProgress) {
    // One of the versions has no target yet, or none any more.
    Wanted.Version.Include = !New;
    Found = Shared.Targets.pick(Now, Wanted);
  }
  return Found;
}

TryEnd Exchange::tryOnce(const std::shared_ptr<backend::Target> &To) {
  const auto Now = DecisionClock::now();
  if (Now >= Until) {
    return TryEnd::Expired;
  }
  auto Over = Shared.Links.take(Now, To->Registered);
  if (!Over) {
    try {
      Over = Shared.Links.connect(Yield, To->Registered,
                                  std::min(Until, Now + internal::ConnectWait));
      Shared.Measured.count("target_connections_total");
    } catch (const Error &Failure) {
      ++State.Unreachable;
      Cause = Failure.code();
      return TryEnd::Unreachable;
    }
  }
  // Waiting for tokens or a connection may have outlasted the caller.
  if (From.left()) {
    return TryEnd::CallerGone;
  }
  Upstream Try{Over, outgoing(To->Registered, DecisionClock::now()), To, Yield};
  From.watch([Over] { Over->Socket.close(); });
  ++State.Sent;
  const bool Before = std::exchange(State.MayHaveRun, true);
  if (Shape) {
    const auto Size = Shape->Input.count();
    Shared.Targets.observePrompt(DecisionClock::now(), To->Registered.Name,
                                 Size);
    if (Shared.Announce) {
      Shared.Announce(To->Registered.Name, Size);
    }
  }
  TrySent = DecisionClock::now();
  FirstByte = Millis{0};
  Try.send(Until);
  const auto End = converse(Try);
  From.unwatch();
  Try.release(Shared.Links);
  if (End == TryEnd::NotRun || End == TryEnd::WrongTarget) {
    State.MayHaveRun = Before;
  }
  return From.gone() ? TryEnd::CallerGone : End;
}

TryEnd Exchange::converse(Upstream &Over) {
  const auto Attempt = internal::view(From.request()[Shared.Names.Attempt]);
  if (!Over.readHead(Shared.Names.Attempt, Attempt)) {
    Cause = "answer_lost";
    return DecisionClock::now() >= Until ? TryEnd::Expired : TryEnd::Lost;
  }
  FirstByte = DecisionClock::now() - TrySent;
  const auto &Fields = Over.fields();
  const bool Stated = Fields.find(Shared.Names.NotRun) != Fields.end();
  if (Over.status() == 421 || Stated) {
    std::string Discarded;
    if (!Over.readAll(Discarded, internal::MostStaleBody)) {
      Over.link()->Socket.close();
    }
    Cause = "target_refused";
    return Over.status() == 421 ? TryEnd::WrongTarget : TryEnd::NotRun;
  }
  if (Fields[Shared.Names.Receipt].empty()) {
    Cause = "answer_without_receipt";
    return TryEnd::Lost;
  }
  if (Chosen->Retry == routing::RetryClass::Stream &&
      Over.status() / 100 == 2) {
    return relay(Over);
  }
  return passWhole(Over);
}

TryEnd Exchange::passWhole(Upstream &Over) {
  std::string Body;
  if (!Over.readAll(Body, internal::MostBody)) {
    Cause = "answer_broken";
    return DecisionClock::now() >= Until ? TryEnd::Expired : TryEnd::Lost;
  }
  if (Over.status() >= 500) {
    FailureStatus = Over.status();
    FailureFields = Over.fields();
    FailureBody = std::move(Body);
    Cause = "target_failed";
    return TryEnd::Failed;
  }
  Answered = Over.status();
  const WireFields Fields = Over.fields();
  Over.release(Shared.Links);
  From.reply(Yield, Answered, Fields, Body, Until + internal::DefaultTimeout);
  return TryEnd::Done;
}

TryEnd Exchange::relay(Upstream &Over) {
  const WireFields Fields = Over.fields();
  const int Status = Over.status();
  Events.reset();
  std::string Bytes;
  while (!Over.done()) {
    Bytes.clear();
    const bool MayMove = State.Resumable && State.Sent < State.MostAttempts;
    const auto Stall = DecisionClock::now() + internal::StallWait;
    Over.link()->Socket.expires_at(
        socketTime(MayMove && From.started() ? std::min(Until, Stall) : Until));
    const bool Sound = Over.readSome(Bytes);
    const auto Run = Events.feed(Bytes);
    EventsPassed += Run.Count;
    if (Run.Count > 0) {
      noteEvents();
    }
    if (Run.Endless) {
      Cause = "event_endless";
      return TryEnd::Lost;
    }
    if (Run.Gap) {
      Cause = "event_missing";
      return TryEnd::Lost;
    }
    if (!Run.Bytes.empty()) {
      if (!From.started()) {
        Answered = Status;
        From.start(Yield, Status, Fields, Until);
      }
      From.write(Yield, Run.Bytes, Until);
    }
    if (!Sound) {
      Cause = "stream_broken";
      return DecisionClock::now() >= Until ? TryEnd::Expired : TryEnd::Lost;
    }
  }
  if (Events.partial()) {
    Cause = "stream_broken";
    return TryEnd::Lost;
  }
  if (!From.started()) {
    Answered = Status;
    From.start(Yield, Status, Fields, Until);
  }
  Over.release(Shared.Links);
  From.finish(Yield, Until);
  return TryEnd::Done;
}

void Exchange::noteEvents() {
  const auto Now = DecisionClock::now();
  if (FirstEvent == Instant{}) {
    FirstEvent = Now;
    FirstByte = Now - TrySent;
    if (Shape && State.Sent == 1) {
      Shared.Targets.observePrefillTime(Shape->Input.count(),
                                        Now - From.arrival());
    }
    Shared.Measured.observe(
        "first_event_seconds",
        std::chrono::duration<double>(Now - From.arrival()).count());
  } else {
    LongestGap = std::max(LongestGap, Now - LastEvent);
  }
  LastEvent = Now;
}

void Exchange::judge(backend::Target &To, TryEnd End) {
  const auto Now = DecisionClock::now();
  const bool Ran = End == TryEnd::Done || End == TryEnd::Failed ||
                   End == TryEnd::Lost || End == TryEnd::Expired;
  if (const auto Move = Shared.Moves.find(Service);
      Ran && Move != Shared.Moves.end()) {
    Move->second.observe(Chosen->Name, To.Registered.Version,
                         End != TryEnd::Done, FirstByte);
  }
  switch (End) {
  case TryEnd::Done:
  case TryEnd::Failed:
    To.ConsecutiveFailures = 0;
    break;
  case TryEnd::Unreachable:
  case TryEnd::Lost:
    To.PausedUntil =
        Now + internal::PauseLeast * (1U << std::min(To.ConsecutiveFailures,
                                                     internal::PauseDoublings));
    ++To.ConsecutiveFailures;
    break;
  case TryEnd::NotRun:
    To.FullUntil = Now + internal::FullPause;
    break;
  case TryEnd::WrongTarget:
    To.PausedUntil = Now + internal::PauseLeast;
    break;
  case TryEnd::Expired:
  case TryEnd::CallerGone:
    break;
  }
}

WireRequest Exchange::outgoing(const backend::Registration &To,
                               Instant Now) const {
  const auto &Names = Shared.Names;
  WireRequest Out = From.request();
  for (const auto &Token : wire::token_list{Out[wire::field::connection]}) {
    Out.erase(Token);
  }
  for (const auto Field :
       {wire::field::connection, wire::field::keep_alive,
        wire::field::proxy_connection, wire::field::te, wire::field::trailer,
        wire::field::upgrade, wire::field::transfer_encoding,
        wire::field::expect, wire::field::authorization}) {
    Out.erase(Field);
  }
  for (const auto &Name : Names.Reserved) {
    Out.erase(Name);
  }
  if (Owner != nullptr) {
    Out.set(Names.Workspace, Owner->Name.str());
  }
  if (Shape) {
    const int Rank = Owner != nullptr && Owner->Priority ? *Owner->Priority
                                                         : Chosen->Priority;
    Out.set(Names.Urgency, std::to_string(std::clamp(Rank, 0, 9)));
  }
  if (Events.last() > 0) {
    Out.set(Names.ResumeAfter, std::to_string(Events.last()));
  }
  Out.set(Names.DeadlineLeft, std::to_string((Until - Now).count()));
  Out.set(Names.ExpectTarget, To.Name.str());
  Out.version(11);
  if (!Out.body().empty() || Out.method() != wire::verb::get) {
    Out.content_length(Out.body().size());
  }
  return Out;
}

Millis Exchange::comeBack() {
  return Millis{static_cast<std::int64_t>(
      static_cast<double>(internal::ComeBackLeast.count()) *
      (1.0 + Shared.draw()))};
}

void Exchange::conclude(NextStep Step) {
  switch (Step) {
  case NextStep::Stop:
  case NextStep::Again:
    if (LastEnd == TryEnd::CallerGone) {
      Cause = "caller_gone";
      From.abort();
    }
    return;
  case NextStep::Refuse:
    refuse(503, Cause, comeBack());
    return;
  case NextStep::PassFailure:
    Answered = FailureStatus;
    From.reply(Yield, FailureStatus, FailureFields, FailureBody,
               DecisionClock::now() + internal::DefaultTimeout);
    return;
  case NextStep::Unknown:
    refuse(502, Cause);
    return;
  case NextStep::Timeout:
    refuse(504, Cause);
    return;
  case NextStep::CutOff:
    From.abort();
    return;
  }
}

void Exchange::refuse(int Status, std::string_view Why,
                      std::optional<Millis> RetryAfter) {
  Cause = std::string{Why};
  Answered = Status;
  WireFields Fields;
  Fields.set(wire::field::content_type, "application/json");
  if (const auto Attempt = From.request()[Shared.Names.Attempt];
      !Attempt.empty()) {
    Fields.set(Shared.Names.Attempt, Attempt);
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
  From.reply(Yield, Status, Fields, Body,
             DecisionClock::now() + internal::DefaultTimeout);
}

void Exchange::settle() {
  if (Reserved == Tokens{}) {
    return;
  }
  // A workspace pays for what reached its caller: nothing for a try whose
  // answer never began, once for a request that was tried again.
  Tokens Spent;
  if (EventsPassed > 0) {
    const Tokens Output{static_cast<std::int64_t>(EventsPassed) * EventTokens};
    Spent = Shape->Input + std::min(Output, Shape->MostOutput);
  } else if (Answered / 100 == 2) {
    Spent = Reserved; // Its events had no ids to be counted by.
  }
  Shared.Budgets.settle(Owner->Name, Reserved, Spent);
  Reserved = Tokens{};
}

void Exchange::report() const {
  Shared.Measured.count(Answered != 0 && Answered < 300
                            ? "requests_total{outcome=\"ok\"}"
                            : "requests_total{outcome=\"" + Cause + "\"}");
  logRequest(Answered / 100 == 2 && Cause.empty(),
             {{"request", std::string{internal::view(
                              From.request()[Shared.Names.Attempt])}},
              {"route", Chosen == nullptr ? "" : Chosen->Name.str()},
              {"workspace", Owner == nullptr ? "" : Owner->Name.str()},
              {"status", static_cast<std::int64_t>(Answered)},
              {"cause", Cause},
              {"sent", static_cast<std::int64_t>(State.Sent)},
              {"unreachable", static_cast<std::int64_t>(State.Unreachable)},
              {"target", Tried.empty() ? "" : Tried.back().str()},
              {"events", static_cast<std::int64_t>(EventsPassed)},
              {"input", Shape ? Shape->Input.count() : 0},
              {"first_ms", FirstEvent == Instant{}
                               ? std::int64_t{-1}
                               : (FirstEvent - From.arrival()).count()},
              {"gap_ms", LongestGap.count()},
              {"took_ms", (DecisionClock::now() - From.arrival()).count()},
              {"left_ms", (Until - DecisionClock::now()).count()},
              {"config", Table ? static_cast<std::int64_t>(Table->version())
                               : std::int64_t{-1}}});
}

} // namespace goldcrestnotch::proxy
