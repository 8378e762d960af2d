/// @file
/// Direct and relayed connections to targets.

#include "goldcrestnotch/proxy/target_paths.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/proxy/relay_message.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch::proxy {

namespace asio = boost::asio;
namespace wire = boost::beast::http;
using asio::ip::tcp;
using relay::ConnectFailure;

namespace internal {

/// Time for another VM to open a connection, and to answer.
static constexpr Millis RelayTimeout{400};
/// Largest number of VMs that are asked for one connection.
static constexpr int MaxRelayTries = 3;
/// A connection that was opened to try the links may be used this long.
static constexpr Millis TriedReuseTime{150};
/// A loop that is late by more can't tell whether a connection hangs.
static constexpr Millis MaxLoopDelay{100};

[[nodiscard]] static ConnectFailure failureOf(const Error &Failure) {
  return Failure.code() == ConnectionPool::RefusedConnection
             ? ConnectFailure::Refused
             : ConnectFailure::TimedOut;
}

} // namespace internal

std::shared_ptr<TargetConnection>
TargetPaths::openDirect(asio::yield_context Yield,
                        const backend::Registration &Target, Instant Limit) {
  const bool WasCutOff = Reach.cutOff();
  try {
    auto Opened = Context.Connections.connect(Yield, Target, Limit);
    Context.Measured.count("target_connections_total");
    Reach.observeConnect(DecisionClock::now());
    logChange(WasCutOff);
    return Opened;
  } catch (const Error &Failure) {
    const auto Now = DecisionClock::now();
    if (Context.Delay.current(Now) <= internal::MaxLoopDelay) {
      Reach.observeFailure(Now, Target.Name, internal::failureOf(Failure));
    }
    throw;
  }
}

std::shared_ptr<TargetConnection>
TargetPaths::openBy(asio::yield_context Yield,
                    const backend::Registration &Target, Instant Limit,
                    Instant DirectLimit) {
  if (!Reach.cutOff()) {
    try {
      return openDirect(Yield, Target, DirectLimit);
    } catch (const Error &Failure) {
      const auto Kind = internal::failureOf(Failure);
      if (Relays.empty() || linksWork(Yield, Target.Name, Kind)) {
        if (Kind == ConnectFailure::Refused) {
          Context.Quarantine.reportEnd(DecisionClock::now(), Target,
                                       notices::EndSign::RefusesConnections);
        }
        throw;
      }
    }
  }
  return openRelayed(Yield, Target, Limit);
}

std::shared_ptr<TargetConnection>
TargetPaths::openForOther(asio::yield_context Yield,
                          const backend::Registration &Target) {
  try {
    return openDirect(Yield, Target, DecisionClock::now() + ConnectTimeout);
  } catch (const Error &Failure) {
    if (!linksWork(Yield, Target.Name, internal::failureOf(Failure))) {
      throw Error{503, CutOff, "this VM does not reach the targets either"};
    }
    throw;
  }
}

bool TargetPaths::linksWork(asio::yield_context Yield, const TargetId &Failed,
                            ConnectFailure Failure) {
  if (Reach.doubtful(DecisionClock::now(), Failure)) {
    tryOthers(Yield, Failed);
  }
  return !Reach.doubtful(DecisionClock::now(), Failure);
}

void TargetPaths::tryOthers(asio::yield_context Yield, const TargetId &Failed) {
  if (std::exchange(Trying, true)) {
    return;
  }
  const auto Begin = DecisionClock::now();
  for (const auto &Other :
       Context.Targets.sample(Begin, relay::TargetReach::MinFailedTargets,
                              Failed, [this] { return Context.draw(); })) {
    try {
      auto Opened = openDirect(Yield, Other->Registered,
                               DecisionClock::now() + ConnectTimeout);
      Opened->ReuseDeadline = DecisionClock::now() + internal::TriedReuseTime;
      Context.Connections.release(Other->Registered, std::move(Opened), 0);
      break;
    } catch (const Error &) {
      Context.Measured.count("target_link_failures_total"); // Noted by Reach.
    }
  }
  Trying = false;
}

TargetPaths::RelayAnswer TargetPaths::ask(asio::yield_context Yield,
                                          const std::string &Address,
                                          const backend::Registration &Target,
                                          Instant Limit) {
  auto Connection = std::make_shared<TargetConnection>(Context.Loop);
  Connection->Relayed = true;
  Connection->Timeout.expiresAt(
      std::min(Limit, DecisionClock::now() + internal::RelayTimeout));
  boost::system::error_code Failure;
  const auto Host = asio::ip::make_address(Address, Failure);
  if (!Failure) {
    Connection->Socket.async_connect(tcp::endpoint{Host, RelayPort},
                                     Yield[Failure]);
  }
  const auto Request = encodeRelayRequest(Target);
  if (!Failure) {
    ConnectionPool::setOptions(*Connection);
    wire::async_write(Connection->Socket, Request, Yield[Failure]);
  }
  wire::response_parser<wire::empty_body> Answer;
  if (!Failure) {
    wire::async_read_header(Connection->Socket, Connection->Buffer, Answer,
                            Yield[Failure]);
  }
  Connection->Timeout.expiresNever();
  if (Failure) {
    return {};
  }
  return {static_cast<int>(Answer.get().result_int()), std::move(Connection)};
}

std::shared_ptr<TargetConnection>
TargetPaths::openRelayed(asio::yield_context Yield,
                         const backend::Registration &Target, Instant Limit) {
  for (int Try = 0; Try < internal::MaxRelayTries; ++Try) {
    const auto Begin = DecisionClock::now();
    const auto Address = Relays.pick(Begin, Context.draw());
    if (!Address || Begin >= Limit) {
      break;
    }
    auto Answer = ask(Yield, *Address, Target, Limit);
    const auto Now = DecisionClock::now();
    switch (Answer.Status) {
    case RelayConnected: {
      const bool WasCutOff = Reach.cutOff();
      Reach.observeRelayed();
      logChange(WasCutOff);
      Context.Measured.count("relayed_connections_total");
      return std::move(Answer.Connection);
    }
    case RelayTargetRefused:
      Context.Quarantine.reportEnd(Now, Target,
                                   notices::EndSign::RefusesConnections);
      throw Error{503, ConnectionPool::RefusedConnection,
                  "target refuses connections of " + *Address};
    case RelayTargetUnwanted:
    case RelayTargetSilent:
      throw Error{503, "target_unreachable",
                  "target can't be reached through " + *Address};
    case RelayBusy:
      Relays.leaveOut(Now, *Address, Now + relay::RelayChoice::BusyBackoff);
      break;
    default:
      Relays.leaveOut(Now, *Address, Now + relay::RelayChoice::FailureBackoff);
    }
  }
  Context.Measured.count("relay_failures_total");
  throw Error{503, CutOff,
              "neither this VM nor another one reaches the target"};
}

TargetState TargetPaths::verify(asio::yield_context Yield,
                                const backend::Registration &Target,
                                Instant Limit) {
  try {
    const auto Opened =
        openBy(Yield, Target, Limit + internal::RelayTimeout, Limit);
    return Opened->Relayed ? TargetState::Unknown : TargetState::Running;
  } catch (const Error &Failure) {
    if (Failure.code() == CutOff) {
      return TargetState::Unknown;
    }
    return Failure.code() == ConnectionPool::RefusedConnection
               ? TargetState::Ended
               : TargetState::Silent;
  }
}

void TargetPaths::maintain(Instant Now) {
  auto OldestSent = Instant::max();
  for (const auto &Attempt : Context.Active) {
    if (!Attempt.Connection->Relayed) {
      OldestSent = std::min(OldestSent, Attempt.Sent);
    }
  }
  const bool Silent = Reach.silent(Now, OldestSent);
  if (Trying || Relays.empty() || (!Reach.cutOff() && !Silent)) {
    return;
  }
  asio::spawn(Context.Loop, [this](asio::yield_context Yield) {
    tryOthers(Yield, TargetId{});
    const auto Failed = Reach.lastFailedTarget();
    const auto Target =
        Failed && !Reach.cutOff() ? Context.Targets.find(*Failed) : nullptr;
    if (!Target) {
      return;
    }
    try {
      (void)openRelayed(Yield, Target->Registered, Instant::max());
    } catch (const Error &) {
      Context.Measured.count("relay_failures_total"); // Asked again later.
    }
  });
}

void TargetPaths::logChange(bool WasCutOff) {
  if (WasCutOff == Reach.cutOff()) {
    return;
  }
  log(LogLevel::Warn, Reach.cutOff() ? "vm.cut_off" : "vm.reconnected", {});
  if (Reach.cutOff()) {
    Context.Targets.forgiveFailures();
  }
  if (Context.OnCutOff) {
    Context.OnCutOff(Reach.cutOff());
  }
}

} // namespace goldcrestnotch::proxy
