/// @file
/// The entry plug-in: paths to handlers, errors to answers.

#include "goldcrestnotch/entry/entry.hpp"

#include <nlohmann/json.hpp>

#include "goldcrestnotch/entry/answer.hpp"
#include "goldcrestnotch/membership/membership.hpp"

namespace goldcrestnotch {

using nlohmann::json;

namespace internal {

static constexpr std::chrono::seconds EntryValid{30};
static constexpr Millis FullRetry{1'000};
static const RegisterPlugin<Entry> Registered{Stage::Traffic, "entry"};

/// @brief Counts a request while it is in progress.
class InProgressCount {
public:
  explicit InProgressCount(std::atomic<std::uint32_t> &Count) : Count{Count} {
    ++Count;
  }
  ~InProgressCount() { --Count; }
  InProgressCount(const InProgressCount &) = delete;
  InProgressCount &operator=(const InProgressCount &) = delete;

private:
  std::atomic<std::uint32_t> &Count;
};

[[nodiscard]] static http::Limits limitsOf(const Settings &Given) {
  http::Limits Result;
  Result.HeadBytes = Given.MaxHeadBytes;
  Result.BodyBytes = Given.MaxBodyBytes;
  Result.WriteWait = Given.CallerWriteTimeout;
  Result.Connections = Given.MaxStreams * 2;
  return Result;
}

} // namespace internal

Entry::Entry(Kernel &Host)
    : Host{Host}, With{Host}, Chats{With}, Calls{With}, Operators{With},
      Listener{Host.traffic(), Host.settings().Entry,
               internal::limitsOf(Host.settings()),
               [this](http::Exchange &Talk) { handle(Talk); }} {}

void Entry::start() {
  Listener.start();
  log(LogLevel::Info, "vm.listening",
      {{"entry",
        Host.settings().Entry.Address + ":" + std::to_string(Listener.port())},
       {"holder", Host.self().str()}});
}

void Entry::drain() { Listener.drain(); }

bool Entry::drained() { return InProgress == 0; }

void Entry::handle(http::Exchange &Talk) {
  const internal::InProgressCount Count{InProgress};
  try {
    dispatch(Talk);
  } catch (const Error &Failure) {
    give(Talk, Failure);
  } catch (const boost::system::system_error &) {
    throw; // The caller is gone.
  } catch (const std::exception &Failure) {
    log(LogLevel::Error, "request.failed", {{"cause", Failure.what()}});
    give(Talk, Error{500, "internal", "the request failed here"}.withVerdict(
                   Verdict::MayHaveRun));
  }
}

void Entry::give(http::Exchange &Talk, const Error &Failure) {
  Host.metrics().count("errors_total{code=\"" + Failure.code() + "\"}");
  log(LogLevel::Debug, "request.refused",
      {{"code", Failure.code()},
       {"verdict", std::string{toString(Failure.verdict())}}});
  if (!Talk.started()) {
    Talk.reply(errorAnswer(Failure));
  }
}

void Entry::dispatch(http::Exchange &Talk) {
  const auto &Asked = Talk.request();
  if (Asked.Path.starts_with("/operator/v1/")) {
    Operators.handle(Talk);
  } else if (Asked.Path == "/v1/chat/completions" ||
             Asked.Path.starts_with("/v1/services/")) {
    serveWork(Talk);
  } else if (Asked.Path == "/v1/entry") {
    Talk.reply(entryList(Asked));
  } else if (Asked.Path == "/healthz") {
    Talk.reply(jsonAnswer({{"status", "ok"}}));
  } else if (Asked.Path == "/readyz") {
    Talk.reply(ready());
  } else if (Asked.Path == "/metrics") {
    Host.metrics().set("requests_in_progress",
                       static_cast<double>(InProgress.load()));
    http::Response Answer;
    Answer.Fields["Content-Type"] = "text/plain; version=0.0.4";
    Answer.Body = Host.metrics().text();
    Talk.reply(Answer);
  } else {
    throw Error{404, "not_found", "there is nothing at this path"};
  }
}

void Entry::serveWork(http::Exchange &Talk) {
  if (InProgress > Host.settings().MaxStreams) {
    Host.metrics().count("refusals_total{cause=\"vm_full\"}");
    throw Error{503, "vm_full", "this VM takes no more requests; ask another"}
        .withRetryAfter(internal::FullRetry);
  }
  Span Trace{TraceContext::parse(Talk.request().field("traceparent")),
             "entry " + Talk.request().Path};
  try {
    if (Talk.request().Path != "/v1/chat/completions") {
      Calls.handle(Talk, Trace);
    } else if (Talk.request().Method == "POST") {
      Chats.handle(Talk, Trace);
    } else {
      throw Error{405, "method_not_allowed", "chat requests are posted"};
    }
  } catch (const Error &Failure) {
    Trace.end(Failure.code());
    throw;
  }
}

http::Response Entry::entryList(const http::Request &Asked) {
  const auto Customer = With.authenticate(Asked);
  const auto View = Host.service<Membership>().snapshot();
  json Rows = json::array();
  for (const auto &One : View->ranked(Customer.Name.str())) {
    Rows.push_back({{"vm", One.Name.str()},
                    {"address", One.Entry.str()},
                    {"domain", One.Domain.str()}});
  }
  const auto Until = std::chrono::duration_cast<std::chrono::seconds>(
      std::chrono::system_clock::now().time_since_epoch() +
      internal::EntryValid);
  return jsonAnswer({{"vms", Rows}, {"valid_until", Until.count()}});
}

http::Response Entry::ready() {
  const bool Ready =
      With.catalogs().ready() && With.ledger().ready() && !Host.draining();
  return jsonAnswer({{"ready", Ready},
                     {"draining", Host.draining()},
                     {"config_version", With.catalog()->version()}},
                    Ready ? 200 : 503);
}

} // namespace goldcrestnotch
