/// @file
/// One chat request from admission to bill.

#include "goldcrestnotch/entry/chat_handler.hpp"

#include <charconv>
#include <optional>

#include <nlohmann/json.hpp>

#include "goldcrestnotch/entry/answer.hpp"
#include "goldcrestnotch/entry/chat_request.hpp"
#include "goldcrestnotch/http/client.hpp"
#include "goldcrestnotch/stream/relay.hpp"

namespace goldcrestnotch {

namespace asio = boost::asio;
using nlohmann::json;

namespace internal {

static constexpr std::uint32_t MostAttempts = 4;
static constexpr Millis CancelLimit{1'000};
static constexpr Millis GrantRetry{2'000};
static constexpr int StatusTooMany = 429;
static constexpr int StatusUnavailable = 503;

/// @brief Holds a bound of a budget; bills what was spent at the end.
class Reservation {
public:
  Reservation(EntryContext &With, PoolId From, Tokens Bound, RequestId Request,
              bool Keyed)
      : With{With}, From{std::move(From)}, Bound{Bound},
        Request{std::move(Request)}, Keyed{Keyed} {}
  ~Reservation() {
    auto &Shard = With.ledger().shard(From);
    asio::post(
        With.host().control(),
        [&Shard, From = From, Bound = Bound, Spent = Spent, Request = Request,
         Keyed = Keyed] { Shard.settle(From, Bound, Spent, Request, Keyed); });
  }
  Reservation(const Reservation &) = delete;
  Reservation &operator=(const Reservation &) = delete;

  void spend(Tokens Amount) noexcept { Spent = Amount; }

private:
  EntryContext &With;
  PoolId From;
  Tokens Bound;
  Tokens Spent;
  RequestId Request;
  bool Keyed;
};

/// @brief The caller's end of an answer; it may go away at any time.
class Caller {
public:
  Caller(http::Exchange &Talk, bool Stream) : Talk{Talk}, Stream{Stream} {}

  [[nodiscard]] bool gone() const noexcept { return Gone; }
  [[nodiscard]] bool started() const noexcept { return Talk.started(); }

  void pass(const std::vector<StreamEvent> &Events, const RequestId &Request) {
    if (!Stream || Gone || Events.empty()) {
      return;
    }
    std::string Bytes;
    for (const auto &One : Events) {
      Bytes += encode(One);
    }
    attempt([&] {
      if (!Talk.started()) {
        begin(Request);
      }
      Talk.write(Bytes);
    });
  }

  void end() {
    if (Stream) {
      attempt([&] { Talk.finish(); });
    }
  }

  void answer(const http::Response &Whole) {
    attempt([&] { Talk.reply(Whole); });
  }

  void fail(const Error &What) {
    attempt([&] {
      Talk.write("data: " + errorBody(What) + "\n\n");
      Talk.finish();
    });
  }

private:
  void begin(const RequestId &Request) {
    http::Response Head;
    Head.Fields["Content-Type"] = "text/event-stream";
    Head.Fields["Cache-Control"] = "no-cache";
    Head.Fields["X-Request-Id"] = Request.str();
    Talk.start(Head);
  }

  template <typename Step> void attempt(Step What) {
    if (Gone) {
      return;
    }
    try {
      What();
    } catch (const boost::system::system_error &) {
      Gone = true;
    }
  }

  http::Exchange &Talk;
  bool Stream;
  bool Gone = false;
};

/// @brief One chat request in progress.
class ChatRun {
public:
  ChatRun(EntryContext &With, http::Exchange &Talk, const Span &Trace)
      : With{With}, Talk{Talk}, Trace{Trace}, Customer{With.authenticate(
                                                  Talk.request())},
        Asked{ChatRequest::parse(Talk.request(), With.host().settings())},
        On{With.route(Asked.On, RouteKind::Chat)},
        Key{EntryContext::idempotencyKey(Talk.request())},
        Request{EntryContext::requestId(Customer.Name, Key)},
        Pool{budgetPool(Customer.Name)}, Answer{skipped(Talk.request())},
        Back{Talk, Asked.Stream} {
    if (!Asked.Stream) {
      Answer.collectText();
    }
  }

  void run() {
    admit();
    Reservation Held{With, Pool, Asked.Bound, Request, !Key.empty()};
    Begun = DecisionClock::now();
    std::optional<Error> Last;
    for (std::uint32_t I = 0; I < MostAttempts && !finished(); ++I) {
      Last = attempt();
      bill(Held);
      if (Last && Last->status() < StatusUnavailable - 3) {
        break; // The target refused it for what it is.
      }
    }
    if (Answer.done()) {
      complete();
    } else if (!Back.gone()) {
      give(*Last);
    }
  }

private:
  [[nodiscard]] static std::uint64_t skipped(const http::Request &Source) {
    const auto Field = Source.field("Last-Event-ID");
    std::uint64_t Number = 0;
    std::from_chars(Field.data(), Field.data() + Field.size(), Number);
    return Number;
  }

  [[nodiscard]] bool finished() const {
    return Answer.done() || (Back.gone() && Key.empty());
  }

  void admit() {
    auto &Shard = With.ledger().shard(Pool);
    const auto Result = await<Decision>(Talk.yield(), [&](auto Done) {
      asio::post(With.host().control(), [&Shard, this, Done] {
        Shard.admit(Pool, Asked.Bound, Done);
      });
    });
    const auto *No = std::get_if<Refused>(&Result);
    if (No == nullptr) {
      return;
    }
    const bool Busy = No->Cause == RefusalCause::Busy;
    With.host().metrics().count(Busy ? "refusals_total{cause=\"budget_busy\"}"
                                     : "refusals_total{cause=\"budget\"}");
    if (Busy) {
      throw Error{StatusTooMany, "budget_busy",
                  "the budget's remainder is in use elsewhere"}
          .withRetryAfter(GrantRetry);
    }
    throw Error{402, "budget_exhausted",
                "less remains of the budget than the request can spend"};
  }

  [[nodiscard]] std::optional<Error> attempt() {
    const auto Version = With.moves().versionFor(On, Request, Tried.empty());
    std::unique_ptr<SlotLease> Slot;
    try {
      Slot = With.place(Talk.yield(), PlacementRequest{On.Name, Version,
                                                       Asked.Affinity, Tried});
    } catch (const Error &Failure) {
      const auto Known = Sent ? Verdict::MayHaveRun : Verdict::NotRun;
      return Error{Failure}.withVerdict(Known);
    }
    const auto SentAt = DecisionClock::now();
    auto Failure = stream(*Slot, Version);
    if (Failure) {
      Tried.insert(Slot->target().Name);
      Slot->setResult(Failure->status() >= StatusUnavailable - 3 ||
                              Failure->status() == StatusTooMany
                          ? TargetResult::Failed
                          : TargetResult::Good);
    } else {
      Slot->setResult(TargetResult::Good);
    }
    With.moves().observe({On.Name, Version, Failure && blames(*Failure),
                          FirstByte ? *FirstByte - SentAt : Millis{0},
                          pace(SentAt)});
    return Failure;
  }

  [[nodiscard]] static bool blames(const Error &Failure) {
    return Failure.status() >= 500;
  }

  /// @brief Mean time between events after the first.
  [[nodiscard]] Millis pace(Instant SentAt) const {
    const auto From = FirstByte.value_or(SentAt);
    const auto Count = static_cast<std::int64_t>(Answer.lastEventId());
    return Count > 1 ? (DecisionClock::now() - From) / (Count - 1) : Millis{0};
  }

  [[nodiscard]] std::optional<Error> stream(const SlotLease &Slot,
                                            const VersionId &Version) {
    const Span Hop{Trace.context(), "target " + Slot.target().Name.str()};
    const auto &Given = With.host().settings();
    FirstByte.reset();
    try {
      Answer.discardPartial();
      http::Client Link{Talk.yield(), Slot.target().Where};
      const auto Opened = Link.open(order(Hop, Version),
                                    DecisionClock::now() + Given.FirstByteWait);
      Sent = true;
      if (Opened->head().Status != 200) {
        return refused(*Opened);
      }
      pump(*Opened, Slot.target());
      if (Answer.done() || Back.gone()) {
        return std::nullopt;
      }
      return Error{502, "answer_cut", "the target ended its answer early"}
          .withVerdict(Verdict::MayHaveRun);
    } catch (const Error &Failure) {
      Sent = Sent || Failure.verdict() != Verdict::NotRun;
      return Error{Failure}.withVerdict(Sent ? Verdict::MayHaveRun
                                             : Verdict::NotRun);
    } catch (const std::runtime_error &Failure) {
      return Error{502, "answer_malformed", Failure.what()}.withVerdict(
          Verdict::MayHaveRun);
    }
  }

  [[nodiscard]] http::Request order(const Span &Hop,
                                    const VersionId &Version) const {
    http::Request Out;
    Out.Method = "POST";
    Out.Path = "/v1/chat/completions";
    Out.Fields["Content-Type"] = "application/json";
    Out.Fields["X-Request-Id"] = Request.str();
    Out.Fields["X-Owner"] = With.host().self().str();
    Out.Fields["X-Tag"] = Pool.str();
    Out.Fields["X-Version"] = Version.str();
    Out.Fields["traceparent"] = Hop.header();
    if (Answer.lastEventId() > 0) {
      Out.Fields["Last-Event-ID"] = std::to_string(Answer.lastEventId());
    }
    Out.Body = Asked.Body;
    return Out;
  }

  [[nodiscard]] Error refused(http::ClientStream &Opened) const {
    const auto Status = Opened.head().Status;
    const bool Full = Status == StatusTooMany || Status == StatusUnavailable;
    if (Full) {
      return Error{503, "target_full", "the target takes no more work"}
          .withRetryAfter(Millis{1'000})
          .withVerdict(Answer.lastEventId() > 0 ? Verdict::MayHaveRun
                                                : Verdict::NotRun);
    }
    return Error{Status >= 500 ? 502 : Status, "target_refused",
                 "the target answered " + std::to_string(Status)}
        .withVerdict(Verdict::MayHaveRun);
  }

  void pump(http::ClientStream &Opened, const Target &On) {
    const auto &Given = With.host().settings();
    while (!Answer.done()) {
      const auto Wait = FirstByte ? Given.BetweenWait : Given.FirstByteWait;
      const auto Piece = Opened.read(DecisionClock::now() + Wait);
      if (!Piece) {
        return;
      }
      if (!FirstByte) {
        FirstByte = DecisionClock::now();
        noteFirst();
      }
      Back.pass(Answer.feed(*Piece), Request);
      if (Back.gone() && Key.empty()) {
        cancel(On);
        return;
      }
    }
  }

  void noteFirst() {
    const std::chrono::duration<double> Span{DecisionClock::now() - Begun};
    With.host().metrics().observe("first_token_seconds", Span.count());
  }

  /// @brief Tells the engine to stop; nobody waits for the answer.
  void cancel(const Target &On) {
    http::Request Out;
    Out.Method = "DELETE";
    Out.Path = "/v1/streams/" + Request.str();
    try {
      const auto Reply = http::Client{Talk.yield(), On.Where}.send(
          Out, DecisionClock::now() + CancelLimit);
      const auto Parsed = json::parse(Reply.Body, nullptr, false);
      if (Reply.Status == 200 && Parsed.is_object()) {
        Cancelled = Tokens{Parsed.value("tokens", std::int64_t{0})};
      }
    } catch (const Error &) {
      With.host().metrics().count("cancel_failures_total");
    }
  }

  void bill(Reservation &Held) const {
    const auto Used = Answer.usage() ? Answer.usage()->total() : Tokens{};
    Held.spend(std::max(Used, Cancelled));
  }

  void complete() {
    With.host().metrics().count("chats_total");
    if (Asked.Stream) {
      Back.end();
      return;
    }
    const auto Used = Answer.usage().value_or(Usage{});
    const json Message{{"role", "assistant"}, {"content", Answer.text()}};
    auto Whole = jsonAnswer(
        {{"id", Request.str()},
         {"object", "chat.completion"},
         {"model", On.Name.str()},
         {"choices", json::array({{{"index", 0},
                                   {"message", Message},
                                   {"finish_reason", Answer.finishReason()}}})},
         {"usage",
          {{"prompt_tokens", Used.Prompt.count()},
           {"completion_tokens", Used.Completion.count()},
           {"total_tokens", Used.total().count()}}}});
    Whole.Fields["X-Request-Id"] = Request.str();
    Back.answer(Whole);
  }

  void give(const Error &Failure) {
    if (!Back.started()) {
      throw Error{Failure};
    }
    Back.fail(Failure);
  }

  EntryContext &With;
  http::Exchange &Talk;
  const Span &Trace;
  Workspace Customer;
  ChatRequest Asked;
  Route On;
  std::string Key;
  RequestId Request;
  PoolId Pool;
  Relay Answer;
  Caller Back;
  std::set<TargetId> Tried;
  Instant Begun{};
  std::optional<Instant> FirstByte;
  Tokens Cancelled;
  bool Sent = false; ///< Bytes of the request may have reached a target.
};

} // namespace internal

void ChatHandler::handle(http::Exchange &Talk, const Span &Trace) {
  With.requireServing();
  internal::ChatRun Run{With, Talk, Trace};
  Run.run();
}

} // namespace goldcrestnotch
