/// @file
/// Dispatches requests by path and turns errors into responses.

#include "goldcrestnotch/entry/entry.hpp"

#include <nlohmann/json.hpp>

#include "goldcrestnotch/core/source_digest.hpp"
#include "goldcrestnotch/entry/answer.hpp"
#include "goldcrestnotch/membership/membership.hpp"

namespace goldcrestnotch {

using nlohmann::json;

namespace internal {

static constexpr std::chrono::seconds EntryListValidity{30};
static constexpr Millis FullRetryDelay{1'000};
static const RegisterPlugin<Entry> Registered{Stage::Traffic, "entry"};

/// @brief Counts a request as in progress for the lifetime of this object.
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

[[nodiscard]] static http::Limits limitsOf(const Settings &Config) {
  http::Limits Result;
  Result.MaxHeadBytes = Config.MaxHeadBytes;
  Result.MaxBodyBytes = Config.MaxBodyBytes;
  Result.WriteTimeout = Config.CallerWriteTimeout;
  Result.MaxConnections = Config.MaxStreams * 2;
  return Result;
}

} // namespace internal

Entry::Entry(Kernel &Host)
    : Host{Host}, Context{Host}, Chats{Context}, Calls{Context},
      Operators{Context}, Listener{Host.traffic(), Host.settings().Entry,
                                   internal::limitsOf(Host.settings()),
                                   [this](http::Exchange &Exchange) {
                                     handle(Exchange);
                                   }} {}

void Entry::start() {
  Listener.start();
  log(LogLevel::Info, "vm.listening",
      {{"entry",
        Host.settings().Entry.Address + ":" + std::to_string(Listener.port())},
       {"holder", Host.self().str()},
       {"sources", std::string{sourceDigest()}}});
}

void Entry::drain() { Listener.drain(); }

bool Entry::drained() { return InProgress == 0; }

void Entry::handle(http::Exchange &Exchange) {
  const internal::InProgressCount Count{InProgress};
  try {
    dispatch(Exchange);
  } catch (const Error &Failure) {
    replyError(Exchange, Failure);
  } catch (const boost::system::system_error &) {
    throw; // The connection to the caller is lost; nothing can be sent.
  } catch (const std::exception &Failure) {
    log(LogLevel::Error, "request.failed", {{"cause", Failure.what()}});
    replyError(Exchange, Error{500, "internal",
                               "the request failed with an internal error"}
                             .withVerdict(Verdict::MayHaveRun));
  }
}

void Entry::replyError(http::Exchange &Exchange, const Error &Failure) {
  Host.metrics().count("errors_total{code=\"" + Failure.code() + "\"}");
  log(LogLevel::Debug, "request.refused",
      {{"code", Failure.code()},
       {"verdict", std::string{toString(Failure.verdict())}}});
  if (!Exchange.started()) {
    Exchange.reply(errorResponse(Failure));
  }
}

void Entry::dispatch(http::Exchange &Exchange) {
  const auto &Request = Exchange.request();
  if (Request.Path.starts_with("/operator/v1/")) {
    Operators.handle(Exchange);
  } else if (Request.Path == "/v1/chat/completions" ||
             Request.Path.starts_with("/v1/services/")) {
    serveRouteRequest(Exchange);
  } else if (Request.Path == "/v1/entry") {
    Exchange.reply(entryList(Request));
  } else if (Request.Path == "/healthz") {
    Exchange.reply(jsonResponse({{"status", "ok"}}));
  } else if (Request.Path == "/readyz") {
    Exchange.reply(ready());
  } else if (Request.Path == "/metrics") {
    Host.metrics().set("requests_in_progress",
                       static_cast<double>(InProgress.load()));
    http::Response Response;
    Response.Fields["Content-Type"] = "text/plain; version=0.0.4";
    Response.Body = Host.metrics().text();
    Exchange.reply(Response);
  } else {
    throw Error{404, "not_found", "no resource exists at this path"};
  }
}

void Entry::serveRouteRequest(http::Exchange &Exchange) {
  if (InProgress > Host.settings().MaxStreams) {
    Host.metrics().count("refusals_total{cause=\"vm_full\"}");
    throw Error{503, "vm_full",
                "this VM is at its request limit; use another VM"}
        .withRetryAfter(internal::FullRetryDelay);
  }
  Span Trace{TraceContext::parse(Exchange.request().field("traceparent")),
             "entry " + Exchange.request().Path};
  try {
    if (Exchange.request().Path != "/v1/chat/completions") {
      Calls.handle(Exchange, Trace);
    } else if (Exchange.request().Method == "POST") {
      Chats.handle(Exchange, Trace);
    } else {
      throw Error{405, "method_not_allowed",
                  "chat requests must use the POST method"};
    }
  } catch (const Error &Failure) {
    Trace.end(Failure.code());
    throw;
  }
}

http::Response Entry::entryList(const http::Request &Request) {
  const auto CallerWorkspace = Context.authenticate(Request);
  const auto View = Host.service<Membership>().snapshot();
  json Vms = json::array();
  for (const auto &Vm : View->ranked(CallerWorkspace.Name.str())) {
    Vms.push_back({{"vm", Vm.Name.str()},
                   {"address", Vm.Entry.str()},
                   {"domain", Vm.Domain.str()}});
  }
  const auto ValidUntil = std::chrono::duration_cast<std::chrono::seconds>(
      std::chrono::system_clock::now().time_since_epoch() +
      internal::EntryListValidity);
  return jsonResponse({{"vms", Vms}, {"valid_until", ValidUntil.count()}});
}

http::Response Entry::ready() {
  const bool Ready = Context.catalogService().ready() &&
                     Context.ledger().ready() && !Host.draining();
  return jsonResponse({{"ready", Ready},
                       {"draining", Host.draining()},
                       {"config_version", Context.catalog()->version()}},
                      Ready ? 200 : 503);
}

} // namespace goldcrestnotch
