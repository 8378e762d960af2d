/// @file
/// Implements the responses and the faults of the replica stand-in.

#include "users_replica.hpp"

#include <cstdlib>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>

#include "standin.hpp"

namespace standin {

using goldcrestnotch::DecisionClock;
using goldcrestnotch::http::Endpoint;
using goldcrestnotch::http::Exchange;
using goldcrestnotch::http::Headers;
using goldcrestnotch::http::Request;
using goldcrestnotch::http::Response;

namespace {

constexpr const char *AttemptHeader = "X-Goldcrestnotch-Attempt-Id";
constexpr const char *RateLimitHeader = "Server-Limit";
constexpr int TruncatedEvent = 3;
constexpr Millis LongPause{20'000};
constexpr int SpoiledEvent = 3;
constexpr std::size_t LargeBodyBytes = 3U << 20U;
constexpr int OversizedHeadFields = 64;
constexpr std::size_t PieceBytes = 16U << 10U;

[[noreturn]] void loseConnection() {
  throw boost::system::system_error{boost::asio::error::connection_reset};
}

std::string event(int Number) {
  return "id: " + std::to_string(Number) + "\ndata: e" +
         std::to_string(Number) + "\n\n";
}

} // namespace

UsersReplica::UsersReplica(boost::asio::io_context &Context,
                           std::string ReplicaId, const Endpoint &ListenAddress)
    : Name{std::move(ReplicaId)}, Address{ListenAddress},
      Listener{Context, ListenAddress, {}, [this](Exchange &HttpExchange) {
                 handle(HttpExchange);
               }} {
  Address.Port = Listener.port();
  Listener.start();
}

std::string UsersReplica::name() const {
  const auto Count = Replacements.load();
  return Count == 0 ? Name : Name + "-" + std::to_string(Count);
}

std::string UsersReplica::entry(const std::string &Service,
                                const std::string &State) const {
  return json{{"service", Service},   {"address", Address.str()},
              {"zone", "zone-a"},     {"version", Version},
              {"capacity", 8},        {"state", State},
              {"coldLeftMs", 0},      {"sequence", ++Entries},
              {"born", BornMs.load()}}
      .dump();
}

Headers UsersReplica::lastHeaders() const {
  const std::lock_guard Lock{Mutex};
  return LastHeaders;
}

std::size_t UsersReplica::mostArrivals(goldcrestnotch::Millis Window,
                                       goldcrestnotch::Instant Since) const {
  const std::lock_guard Lock{Mutex};
  return Arrivals.most(Window, Since);
}

std::size_t UsersReplica::arrivals(goldcrestnotch::Instant From,
                                   goldcrestnotch::Instant To) const {
  const std::lock_guard Lock{Mutex};
  return Arrivals.count(From, To);
}

int UsersReplica::runsOf(const std::string &AttemptId) const {
  const std::lock_guard Lock{Mutex};
  const auto It = RunsByAttempt.find(AttemptId);
  return It == RunsByAttempt.end() ? 0 : It->second;
}

void UsersReplica::handle(Exchange &HttpExchange) {
  const auto &Request = HttpExchange.request();
  Response Reply;
  Reply.Fields[AttemptHeader] = std::string{Request.field(AttemptHeader)};
  Reply.Fields["Keep-Alive"] = "timeout=5";
  if (const double Stated = RateLimit; Stated > 0) {
    Reply.Fields[RateLimitHeader] =
        RateLimitIsText ? "none" : std::to_string(Stated);
  }
  if (Leaving || Staying) {
    Reply.Fields["Server-Leaving"] = Leaving ? "1" : "0";
  }
  if (const int Limit = Brittle; Limit > 0) {
    Reply.Fields["Server-Brittle"] = std::to_string(Limit);
  }
  {
    const std::lock_guard Lock{Mutex};
    Arrivals.add(DecisionClock::now());
  }
  if (Request.field("X-Goldcrestnotch-Expect-Replica") != name()) {
    Reply.Status = 421;
    HttpExchange.reply(Reply);
    return;
  }
  if (const double Seconds = RetryAfterS; Seconds > 0) {
    Reply.Fields["Retry-After"] = std::to_string(Seconds);
  }
  if (CurrentBehavior == Behavior::Full || RetryAfterS > 0) {
    Reply.Status = RetryAfterS > 0 ? 503 : RefusalStatus.load();
    Reply.Fields["X-Goldcrestnotch-Not-Executed"] = "1";
    HttpExchange.reply(Reply);
    return;
  }
  ++Runs;
  {
    const std::lock_guard Lock{Mutex};
    LastHeaders = Request.Fields;
    ++RunsByAttempt[std::string{Request.field(AttemptHeader)}];
  }
  if (CurrentBehavior == Behavior::Disconnecting) {
    loseConnection();
  }
  Reply.Fields["X-Goldcrestnotch-Replica-Signature"] = "signed-" + Name;
  if (CurrentBehavior == Behavior::Failing &&
      Runs % static_cast<std::uint64_t>(FailureInterval) == 0) {
    fail(HttpExchange, std::move(Reply));
    return;
  }
  if (crashes(Request)) {
    crash(HttpExchange, Reply);
  }
  if (respondFaulty(HttpExchange, Reply)) {
    return;
  }
  if (!Request.field("X-Goldcrestnotch-Token-Usage").empty()) {
    stream(HttpExchange, std::move(Reply));
    return;
  }
  Reply.Body = CurrentBehavior == Behavior::LargeBody
                   ? std::string(LargeBodyBytes, 'x')
                   : "done by " + Name;
  HttpExchange.reply(Reply);
}

void UsersReplica::fail(Exchange &HttpExchange, Response Reply) {
  Reply.Status = FailureStatus;
  Reply.Body = "failed at " + Name;
  if (const double Seconds = FailureRetryAfterS; Seconds > 0) {
    Reply.Fields["Retry-After"] = std::to_string(Seconds);
  }
  HttpExchange.reply(Reply);
}

bool UsersReplica::respondFaulty(Exchange &HttpExchange, Response &Reply) {
  if (CurrentBehavior == Behavior::OversizedHead) {
    for (int I = 0; I < OversizedHeadFields; ++I) {
      Reply.Fields["X-Noise-" + std::to_string(I)] =
          std::string(PieceBytes, 'x');
    }
    HttpExchange.reply(Reply);
    return true;
  }
  if (CurrentBehavior == Behavior::EndlessBody) {
    sendEndlessBody(HttpExchange, Reply);
  }
  if (CurrentBehavior == Behavior::StaleEndlessBody) {
    Reply.Fields[AttemptHeader] = "another-request";
    sendEndlessBody(HttpExchange, Reply);
  }
  if (CurrentBehavior == Behavior::ClientError) {
    Reply.Status = 404;
    Reply.Body = "no such thing\n\n";
    HttpExchange.reply(Reply);
    return true;
  }
  if (CurrentBehavior == Behavior::EmptyBody) {
    HttpExchange.reply(Reply);
    return true;
  }
  if (CurrentBehavior == Behavior::RepeatedRefusal && Received++ % 2 == 1) {
    Response Refusal;
    Refusal.Status = 503;
    Refusal.Fields["X-Goldcrestnotch-Not-Executed"] = "1";
    HttpExchange.reply(Refusal);
  }
  if (CurrentBehavior == Behavior::StaleReply) {
    Response StaleReply = Reply;
    StaleReply.Fields[AttemptHeader] = "another-request";
    StaleReply.Body = "stale";
    HttpExchange.reply(StaleReply);
  }
  return false;
}

void UsersReplica::sendEndlessBody(Exchange &HttpExchange,
                                   const Response &Head) {
  HttpExchange.start(Head);
  const std::string Piece(PieceBytes, 'x');
  while (true) { // Ends when the caller closes and the write throws.
    HttpExchange.write(Piece);
    EndlessBytes += Piece.size();
  }
}

bool UsersReplica::crashes(const Request &Received) const {
  return (!CrashingPath.empty() && Received.Path == CrashingPath) ||
         (!CrashingPart.empty() &&
          Received.field("X-Goldcrestnotch-Prompt-Prefix").find(CrashingPart) !=
              std::string_view::npos);
}

void UsersReplica::crash(Exchange &HttpExchange, Response Head) {
  Head.Fields["Content-Type"] = "text/event-stream";
  const auto Form = FormOfCrash;
  if (Form != CrashForm::EndBeforeHead && Form != CrashForm::SilentBeforeHead) {
    HttpExchange.start(Head);
  }
  if (Form == CrashForm::InsideEvent) {
    HttpExchange.write(event(1).substr(0, 4));
  }
  if (Form == CrashForm::AfterEvent || Form == CrashForm::SilentAfterEvent) {
    HttpExchange.write(event(1));
  }
  sleep(HttpExchange, Form == CrashForm::LateEnd ? Millis{1'000} : Millis{10});
  ++BornMs;
  if (OnCrash) {
    OnCrash(*this);
  }
  loseConnection();
}

void UsersReplica::stream(Exchange &HttpExchange, Response Head) {
  Head.Fields["Content-Type"] = "text/event-stream";
  const std::string LastEventId{HttpExchange.request().field("Last-Event-Id")};
  HttpExchange.start(Head);
  std::string Held; ///< Sent with the next event.
  const int First = std::atoi(LastEventId.c_str()) + 1;
  for (int I = First; I <= Events; ++I) {
    sleep(HttpExchange, Millis{EventDelayMs});
    if (CurrentBehavior == Behavior::PausingStream && I > First) {
      sleep(HttpExchange, LongPause);
    }
    if (CurrentBehavior == Behavior::TruncatingStream && I == TruncatedEvent) {
      HttpExchange.write(event(I).substr(0, 4));
      loseConnection();
    }
    if (CurrentBehavior == Behavior::SpoiledStream && I <= SpoiledEvent) {
      Held += I < SpoiledEvent ? event(I) : std::string(event(I).size(), '#');
      continue;
    }
    if ((CurrentBehavior == Behavior::SpoiledFirst && I == 1) ||
        (CurrentBehavior == Behavior::SpoiledLast && I == Events)) {
      HttpExchange.write("##" + event(I).substr(2));
      continue;
    }
    HttpExchange.write(std::exchange(Held, {}) + event(I));
  }
  HttpExchange.finish();
}

} // namespace standin
