/// @file
/// Answers of a replica.

#include "users_replica.hpp"

#include <cstdlib>

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>

#include "standin.hpp"

namespace standin {

using goldcrestnotch::http::Endpoint;
using goldcrestnotch::http::Exchange;
using goldcrestnotch::http::Headers;
using goldcrestnotch::http::Response;

namespace {

constexpr const char *Attempt = "X-Goldcrestnotch-Attempt-Id";
constexpr int TornEvent = 3;
constexpr int LongHeadFields = 64;
constexpr std::size_t NoiseBytes = 16U << 10U;

[[noreturn]] void loseConnection() {
  throw boost::system::system_error{boost::asio::error::connection_reset};
}

std::string event(int Number) {
  return "id: " + std::to_string(Number) + "\ndata: e" +
         std::to_string(Number) + "\n\n";
}

} // namespace

UsersReplica::UsersReplica(boost::asio::io_context &Context, std::string Id,
                           const Endpoint &Given)
    : Name{std::move(Id)}, Where{Given},
      Link{Context, Given, {}, [this](Exchange &Talk) { handle(Talk); }} {
  Where.Port = Link.port();
  Link.start();
}

std::string UsersReplica::entry(const std::string &Service,
                                const std::string &State) const {
  return json{{"service", Service},
              {"address", Where.str()},
              {"zone", "zone-a"},
              {"version", Version},
              {"capacity", 8},
              {"state", State},
              {"coldLeftMs", 0},
              {"sequence", 1},
              {"born", 1'700'000'000'000}}
      .dump();
}

Headers UsersReplica::last() const {
  const std::lock_guard Lock{Mutex};
  return Last;
}

int UsersReplica::runsOf(const std::string &Attempt) const {
  const std::lock_guard Lock{Mutex};
  const auto It = Attempts.find(Attempt);
  return It == Attempts.end() ? 0 : It->second;
}

void UsersReplica::handle(Exchange &Talk) {
  const auto &Asked = Talk.request();
  Response Answer;
  Answer.Fields[Attempt] = std::string{Asked.field(Attempt)};
  Answer.Fields["Keep-Alive"] = "timeout=5";
  if (Asked.field("X-Goldcrestnotch-Expect-Replica") != Name) {
    Answer.Status = 421;
    Talk.reply(Answer);
    return;
  }
  if (Now == Mood::Full) {
    Answer.Status = 503;
    Answer.Fields["X-Goldcrestnotch-Not-Executed"] = "1";
    Talk.reply(Answer);
    return;
  }
  ++Runs;
  {
    const std::lock_guard Lock{Mutex};
    Last = Asked.Fields;
    ++Attempts[std::string{Asked.field(Attempt)}];
  }
  if (Now == Mood::Vanishing) {
    loseConnection();
  }
  Answer.Fields["X-Goldcrestnotch-Replica-Signature"] = "signed-" + Name;
  if (Now == Mood::Failing) {
    Answer.Status = 500;
    Talk.reply(Answer);
    return;
  }
  if (Now == Mood::LongHead) {
    for (int I = 0; I < LongHeadFields; ++I) {
      Answer.Fields["X-Noise-" + std::to_string(I)] =
          std::string(NoiseBytes, 'x');
    }
    Talk.reply(Answer);
    return;
  }
  if (Now == Mood::Endless) {
    makeNoise(Talk, Answer);
  }
  if (Now == Mood::StaleEndless) {
    Answer.Fields[Attempt] = "another-request";
    makeNoise(Talk, Answer);
  }
  if (Now == Mood::Gibbering) {
    Response Stale = Answer;
    Stale.Fields[Attempt] = "another-request";
    Stale.Body = "stale";
    Talk.reply(Stale);
  }
  if (!Asked.field("X-Goldcrestnotch-Token-Usage").empty()) {
    stream(Talk, std::move(Answer));
    return;
  }
  Answer.Body = "done by " + Name;
  Talk.reply(Answer);
}

void UsersReplica::makeNoise(Exchange &Talk, const Response &Head) {
  Talk.start(Head);
  const std::string Piece(NoiseBytes, 'x');
  while (true) { // Until the caller closes: the write throws.
    Talk.write(Piece);
    Noise += Piece.size();
  }
}

void UsersReplica::stream(Exchange &Talk, Response Head) {
  Head.Fields["Content-Type"] = "text/event-stream";
  const std::string After{Talk.request().field("Last-Event-Id")};
  Talk.start(Head);
  for (int I = std::atoi(After.c_str()) + 1; I <= Events; ++I) {
    sleep(Talk, Millis{EventMs});
    if (Now == Mood::Tearing && I == TornEvent) {
      Talk.write(event(I).substr(0, 4));
      loseConnection();
    }
    Talk.write(event(I));
  }
  Talk.finish();
}

} // namespace standin
