/// @file
/// Connecting to candidates.

#include "goldcrestnotch/proxy/replacement_search.hpp"

#include <utility>

#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/proxy/target_paths.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch::proxy {

ReplacementSearch::ReplacementSearch(ProxyContext &Context)
    : Context{Context}, Search{std::make_shared<State>()} {}

void ReplacementSearch::begin(
    const std::shared_ptr<backend::Target> &Candidate) {
  if (std::exchange(Search->Connecting, true)) {
    return;
  }
  boost::asio::spawn(
      Context.Loop, [Shared = Search, &Context = Context,
                     Candidate](boost::asio::yield_context Yield) {
        try {
          Shared->Found = {Candidate,
                           Context.Paths->open(Yield, Candidate->Registered,
                                               Instant::max())};
        } catch (const Error &Failure) {
          fail(Context, *Candidate, Failure.code());
        }
        Shared->Connecting = false;
      });
}

bool ReplacementSearch::found() {
  auto &Found = Search->Found;
  if (Found.Connection && !Found.Connection->idle()) {
    fail(Context, *Found.Target, "closed");
    Found = {};
  }
  return Found.Connection != nullptr;
}

void ReplacementSearch::fail(ProxyContext &Context, backend::Target &Candidate,
                             const std::string &Cause) {
  if (!Context.Paths->cutOff()) {
    Candidate.recordFailure(DecisionClock::now());
  }
  log(LogLevel::Info, "target.replacement_failed",
      {{"target", Candidate.Registered.Name.str()}, {"cause", Cause}});
}

Replacement ReplacementSearch::take() {
  return std::exchange(Search->Found, {});
}

} // namespace goldcrestnotch::proxy
