/// @file
/// Runs a chat request from budget admission to billing.

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

static constexpr std::uint32_t MaxAttempts = 4;
static constexpr Millis CancelTimeout{1'000};
static constexpr Millis BudgetRetryDelay{2'000};
static constexpr int StatusTooManyRequests = 429;
static constexpr int StatusServiceUnavailable = 503;

/// @brief Reserves the token bound of a request in its budget pool, and settles
/// it with the tokens spent when destroyed.
class Reservation {
public:
  Reservation(EntryContext &Context, PoolId Pool, Tokens Bound,
              RequestId ChatId, bool HasIdempotencyKey)
      : Context{Context}, Pool{std::move(Pool)}, Bound{Bound},
        ChatId{std::move(ChatId)}, HasIdempotencyKey{HasIdempotencyKey} {}
  ~Reservation() {
    auto &Shard = Context.ledger().shard(Pool);
    asio::post(Context.host().control(),
               [&Shard, Pool = Pool, Bound = Bound, Spent = Spent,
                ChatId = ChatId, HasIdempotencyKey = HasIdempotencyKey] {
                 Shard.settle(Pool, Bound, Spent, ChatId, HasIdempotencyKey);
               });
  }
  Reservation(const Reservation &) = delete;
  Reservation &operator=(const Reservation &) = delete;

  void setSpent(Tokens Amount) noexcept { Spent = Amount; }

private:
  EntryContext &Context;
  PoolId Pool;
  Tokens Bound;
  Tokens Spent;
  RequestId ChatId;
  bool HasIdempotencyKey;
};

/// @brief Writes the response to the caller, who may disconnect at any time.
/// After a lost connection, writes are ignored and `disconnected()` is true.
class ResponseWriter {
public:
  ResponseWriter(http::Exchange &Exchange, bool Stream)
      : Exchange{Exchange}, Stream{Stream} {}

  [[nodiscard]] bool disconnected() const noexcept { return Disconnected; }
  [[nodiscard]] bool started() const noexcept { return Exchange.started(); }

  void sendEvents(const std::vector<StreamEvent> &Events,
                  const RequestId &ChatId) {
    if (!Stream || Disconnected || Events.empty()) {
      return;
    }
    std::string Bytes;
    for (const auto &Event : Events) {
      Bytes += encode(Event);
    }
    guardWrite([&] {
      if (!Exchange.started()) {
        startStream(ChatId);
      }
      Exchange.write(Bytes);
    });
  }

  void finish() {
    if (Stream) {
      guardWrite([&] { Exchange.finish(); });
    }
  }

  void sendWhole(const http::Response &Response) {
    guardWrite([&] { Exchange.reply(Response); });
  }

  void sendError(const Error &Failure) {
    guardWrite([&] {
      Exchange.write("data: " + errorBody(Failure) + "\n\n");
      Exchange.finish();
    });
  }

private:
  void startStream(const RequestId &ChatId) {
    http::Response Head;
    Head.Fields["Content-Type"] = "text/event-stream";
    Head.Fields["Cache-Control"] = "no-cache";
    Head.Fields["X-Request-Id"] = ChatId.str();
    Exchange.start(Head);
  }

  /// @brief Runs a write unless the caller has disconnected; a failed write
  /// marks the caller as disconnected.
  template <typename Operation> void guardWrite(Operation Write) {
    if (Disconnected) {
      return;
    }
    try {
      Write();
    } catch (const boost::system::system_error &) {
      Disconnected = true;
    }
  }

  http::Exchange &Exchange;
  bool Stream;
  bool Disconnected = false;
};

/// @brief A chat request in progress.
class ChatRun {
public:
  ChatRun(EntryContext &Context, http::Exchange &Exchange, const Span &Trace)
      : Context{Context}, Exchange{Exchange}, Trace{Trace},
        CallerWorkspace{Context.authenticate(Exchange.request())},
        Chat{ChatRequest::parse(Exchange.request(), Context.host().settings())},
        ChatRoute{Context.route(Chat.RouteName, RouteKind::Chat)},
        IdempotencyKey{EntryContext::idempotencyKey(Exchange.request())},
        ChatId{EntryContext::requestId(CallerWorkspace.Name, IdempotencyKey)},
        Pool{budgetPool(CallerWorkspace.Name)},
        ReceivedStream{skippedEvents(Exchange.request())}, Writer{Exchange,
                                                                  Chat.Stream} {
    if (!Chat.Stream) {
      ReceivedStream.collectText();
    }
  }

  void run() {
    admit();
    Reservation Reserved{Context, Pool, Chat.Bound, ChatId,
                         !IdempotencyKey.empty()};
    AdmittedAt = DecisionClock::now();
    std::optional<Error> LastError;
    for (std::uint32_t Attempt = 0; Attempt < MaxAttempts && !finished();
         ++Attempt) {
      LastError = attempt();
      updateSpent(Reserved);
      if (LastError && LastError->status() < StatusServiceUnavailable - 3) {
        break; // Other targets would reject the request as well.
      }
    }
    if (ReceivedStream.done()) {
      sendCompletion();
    } else if (!Writer.disconnected()) {
      sendFailure(*LastError);
    }
  }

private:
  [[nodiscard]] static std::uint64_t
  skippedEvents(const http::Request &HttpRequest) {
    const auto Field = HttpRequest.field("Last-Event-ID");
    std::uint64_t Number = 0;
    std::from_chars(Field.data(), Field.data() + Field.size(), Number);
    return Number;
  }

  /// @brief Whether no further attempt is needed. A request with an idempotency
  /// key runs to its end even after the caller has disconnected.
  [[nodiscard]] bool finished() const {
    return ReceivedStream.done() ||
           (Writer.disconnected() && IdempotencyKey.empty());
  }

  /// @brief Reserves the token bound of the request in the budget.
  /// @throws Error with status 429 if the budget is reserved by other requests,
  /// with status 402 if it is exhausted.
  void admit() {
    auto &Shard = Context.ledger().shard(Pool);
    const auto Result = await<Decision>(Exchange.yield(), [&](auto Done) {
      asio::post(Context.host().control(), [&Shard, this, Done] {
        auto &Catalogs = Context.catalogService();
        const bool Pending = Shard.state().find(Pool) == nullptr &&
                             Catalogs.catalog().hasTopUp(CallerWorkspace.Name);
        if (Pending) {
          Catalogs.expedite(Pool);
        }
        const auto Creation =
            Pending ? PoolCreation::Pending : PoolCreation::None;
        Shard.admit(Pool, Chat.Bound, Creation, Done);
      });
    });
    const auto *Refusal = std::get_if<Refused>(&Result);
    if (Refusal == nullptr) {
      return;
    }
    const bool Busy = Refusal->Cause == RefusalCause::Busy;
    Context.host().metrics().count(Busy
                                       ? "refusals_total{cause=\"budget_busy\"}"
                                       : "refusals_total{cause=\"budget\"}");
    if (Busy) {
      throw Error{StatusTooManyRequests, "budget_busy",
                  "the rest of the budget is reserved by other requests"}
          .withRetryAfter(BudgetRetryDelay);
    }
    throw Error{
        402, "budget_exhausted",
        "the remaining budget is smaller than the token bound of the request"};
  }

  /// @brief Makes one attempt on one target.
  /// @return The error if it failed, or nothing if it ended well or the caller
  /// disconnected.
  [[nodiscard]] std::optional<Error> attempt() {
    const auto Version =
        Context.rollout().versionFor(ChatRoute, ChatId, TriedTargets.empty());
    std::unique_ptr<SlotLease> Slot;
    try {
      Slot = Context.acquireSlot(
          Exchange.yield(), PlacementRequest{ChatRoute.Name, Version,
                                             Chat.AffinityKey, TriedTargets});
    } catch (const Error &Failure) {
      const auto Ran = Sent ? Verdict::MayHaveRun : Verdict::NotRun;
      return Error{Failure}.withVerdict(Ran);
    }
    const auto SentAt = DecisionClock::now();
    auto Failure = streamFrom(*Slot, Version);
    if (Failure) {
      TriedTargets.insert(Slot->target().Name);
      Slot->setResult(Failure->status() >= StatusServiceUnavailable - 3 ||
                              Failure->status() == StatusTooManyRequests
                          ? TargetResult::Failed
                          : TargetResult::Good);
    } else {
      Slot->setResult(TargetResult::Good);
    }
    Context.rollout().observe(
        {ChatRoute.Name, Version, Failure && isTargetFault(*Failure),
         FirstByte ? *FirstByte - SentAt : Millis{0}, eventInterval(SentAt)});
    return Failure;
  }

  [[nodiscard]] static bool isTargetFault(const Error &Failure) {
    return Failure.status() >= 500;
  }

  /// @brief Returns the mean time between events after the first byte.
  [[nodiscard]] Millis eventInterval(Instant SentAt) const {
    const auto Start = FirstByte.value_or(SentAt);
    const auto Count = static_cast<std::int64_t>(ReceivedStream.lastEventId());
    return Count > 1 ? (DecisionClock::now() - Start) / (Count - 1) : Millis{0};
  }

  /// @brief Streams the response from a target to the caller, after the last
  /// event received from an earlier target.
  [[nodiscard]] std::optional<Error> streamFrom(const SlotLease &Slot,
                                                const VersionId &Version) {
    const Span Hop{Trace.context(), "target " + Slot.target().Name.str()};
    const auto &Config = Context.host().settings();
    FirstByte.reset();
    try {
      ReceivedStream.discardPartial();
      http::Client Client{Exchange.yield(), Slot.target().Address};
      const auto Upstream =
          Client.open(targetRequest(Hop, Version),
                      DecisionClock::now() + Config.FirstByteTimeout);
      Sent = true;
      if (Upstream->head().Status != 200) {
        return refusalError(*Upstream);
      }
      relayEvents(*Upstream, Slot.target());
      if (ReceivedStream.done() || Writer.disconnected()) {
        return std::nullopt;
      }
      return Error{502, "answer_cut",
                   "the target closed its response before the end"}
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

  [[nodiscard]] http::Request targetRequest(const Span &Hop,
                                            const VersionId &Version) const {
    http::Request Outgoing;
    Outgoing.Method = "POST";
    Outgoing.Path = "/v1/chat/completions";
    Outgoing.Fields["Content-Type"] = "application/json";
    Outgoing.Fields["X-Request-Id"] = ChatId.str();
    Outgoing.Fields["X-Owner"] = Context.host().self().str();
    Outgoing.Fields["X-Tag"] = Pool.str();
    Outgoing.Fields["X-Version"] = Version.str();
    Outgoing.Fields["traceparent"] = Hop.header();
    if (ReceivedStream.lastEventId() > 0) {
      Outgoing.Fields["Last-Event-ID"] =
          std::to_string(ReceivedStream.lastEventId());
    }
    Outgoing.Body = Chat.Body;
    return Outgoing;
  }

  [[nodiscard]] static Error refusalError(http::ClientStream &Upstream) {
    const auto Status = Upstream.head().Status;
    const bool Full =
        Status == StatusTooManyRequests || Status == StatusServiceUnavailable;
    if (Full) {
      // The status alone does not tell that the request has not run.
      return Error{503, "target_full", "the target is at capacity"}
          .withRetryAfter(Millis{1'000})
          .withVerdict(Verdict::MayHaveRun);
    }
    return Error{Status >= 500 ? 502 : Status, "target_refused",
                 "the target responded with status " + std::to_string(Status)}
        .withVerdict(Verdict::MayHaveRun);
  }

  void relayEvents(http::ClientStream &Upstream, const Target &ServingTarget) {
    const auto &Config = Context.host().settings();
    while (!ReceivedStream.done()) {
      const auto Timeout =
          FirstByte ? Config.ChunkTimeout : Config.FirstByteTimeout;
      const auto Chunk = Upstream.read(DecisionClock::now() + Timeout);
      if (!Chunk) {
        return;
      }
      if (!FirstByte) {
        FirstByte = DecisionClock::now();
        recordFirstByte();
      }
      Writer.sendEvents(ReceivedStream.feed(*Chunk), ChatId);
      if (Writer.disconnected() && IdempotencyKey.empty()) {
        cancel(ServingTarget);
        return;
      }
    }
  }

  void recordFirstByte() {
    const std::chrono::duration<double> Elapsed{DecisionClock::now() -
                                                AdmittedAt};
    Context.host().metrics().observe("first_token_seconds", Elapsed.count());
  }

  /// @brief Cancels the stream on the target after the caller disconnected, and
  /// records the number of tokens to bill from the reply.
  void cancel(const Target &ServingTarget) {
    http::Request Outgoing;
    Outgoing.Method = "DELETE";
    Outgoing.Path = "/v1/streams/" + ChatId.str();
    try {
      const auto Reply =
          http::Client{Exchange.yield(), ServingTarget.Address}.send(
              Outgoing, DecisionClock::now() + CancelTimeout);
      const auto Parsed = json::parse(Reply.Body, nullptr, false);
      if (Reply.Status == 200 && Parsed.is_object()) {
        CancelledTokens = Tokens{Parsed.value("tokens", std::int64_t{0})};
      }
    } catch (const Error &) {
      Context.host().metrics().count("cancel_failures_total");
    }
  }

  void updateSpent(Reservation &Reserved) const {
    const auto Used =
        ReceivedStream.usage() ? ReceivedStream.usage()->total() : Tokens{};
    Reserved.setSpent(std::max(Used, CancelledTokens));
  }

  void sendCompletion() {
    Context.host().metrics().count("chats_total");
    if (Chat.Stream) {
      Writer.finish();
      return;
    }
    const auto Used = ReceivedStream.usage().value_or(Usage{});
    const json Message{{"role", "assistant"},
                       {"content", ReceivedStream.text()}};
    auto Response = jsonResponse(
        {{"id", ChatId.str()},
         {"object", "chat.completion"},
         {"model", ChatRoute.Name.str()},
         {"choices",
          json::array({{{"index", 0},
                        {"message", Message},
                        {"finish_reason", ReceivedStream.finishReason()}}})},
         {"usage",
          {{"prompt_tokens", Used.Prompt.count()},
           {"completion_tokens", Used.Completion.count()},
           {"total_tokens", Used.total().count()}}}});
    Response.Fields["X-Request-Id"] = ChatId.str();
    Writer.sendWhole(Response);
  }

  /// @brief Throws the error if no response has started, else sends it as the
  /// last event of the stream.
  void sendFailure(const Error &Failure) {
    if (!Writer.started()) {
      throw Error{Failure};
    }
    Writer.sendError(Failure);
  }

  EntryContext &Context;
  http::Exchange &Exchange;
  const Span &Trace;
  Workspace CallerWorkspace;
  ChatRequest Chat;
  Route ChatRoute;
  std::string IdempotencyKey;
  RequestId ChatId;
  PoolId Pool;
  Relay ReceivedStream;
  ResponseWriter Writer;
  std::set<TargetId> TriedTargets;
  Instant AdmittedAt{};
  std::optional<Instant> FirstByte;
  Tokens CancelledTokens;
  bool Sent = false; ///< A target may have received bytes of the request.
};

} // namespace internal

void ChatHandler::handle(http::Exchange &Exchange, const Span &Trace) {
  Context.requireServing();
  internal::ChatRun Run{Context, Exchange, Trace};
  Run.run();
}

} // namespace goldcrestnotch
