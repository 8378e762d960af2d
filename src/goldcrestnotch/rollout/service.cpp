/// @file
/// Implementation of the rollout plug-in.

#include "goldcrestnotch/rollout/service.hpp"

#include <nlohmann/json.hpp>

#include "goldcrestnotch/catalog/service.hpp"
#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/membership/membership.hpp"

namespace goldcrestnotch {

using nlohmann::json;

namespace internal {

static constexpr Millis PollInterval{50};
static constexpr Millis ReportInterval{1'000};
static constexpr Millis PublishInterval{500};
static constexpr Millis AppendTimeout{2'000};
static constexpr std::uint64_t Permille = 1'000;
static const RegisterPlugin<RolloutService> Registered{Stage::Fleet, "rollout"};

static void applyRollout(MoveTable &Table, const LogRecord &Record) {
  Table.apply(Record.Offset, Record.When, decodeRollout(Record.Body));
}

/// @brief Time left until an instant of the platform's clock, measured by the
/// system clock of this VM.
[[nodiscard]] static Millis untilWall(LogTime When) {
  return std::chrono::duration_cast<Millis>(When -
                                            std::chrono::system_clock::now());
}

} // namespace internal

RolloutService::RolloutService(Kernel &Host)
    : Host{Host}, Log{Host.settings().Platform},
      Stream{Host.control(), Log, "rollout", internal::applyRollout,
             FollowerHooks{[this] { updateMoves(); },
                           [this](const LogRecord &) {
                             this->Host.metrics().count(
                                 "log_records_bad_total");
                           }}} {
  Host.emplace(*this);
}

void RolloutService::start() {
  Stream.start();
  boost::asio::spawn(Host.control(),
                     [this](boost::asio::yield_context Yield) { run(Yield); });
}

VersionId RolloutService::versionFor(const Route &Requested,
                                     const RequestId &Request, bool First) {
  const std::lock_guard Lock{Mutex};
  const auto It = Moves.find(Requested.Name);
  if (It == Moves.end() || It->second.End == MoveOutcome::RolledBack) {
    return Requested.Version;
  }
  const auto &Active = It->second;
  if (Active.End == MoveOutcome::Completed) {
    return Requested.Version == Active.Order.From ? Active.Order.To
                                                  : Requested.Version;
  }
  const auto Draw =
      hashOf(Active.Order.Name.str() + Request.str()) % internal::Permille;
  const bool New =
      First && Draw < Active.Share && Active.Local.allows(DecisionClock::now());
  return New ? Active.Order.To : Active.Order.From;
}

VersionId RolloutService::settledVersion(const Route &Requested) {
  const std::lock_guard Lock{Mutex};
  const auto It = Moves.find(Requested.Name);
  const bool Moved = It != Moves.end() &&
                     It->second.End == MoveOutcome::Completed &&
                     Requested.Version == It->second.Order.From;
  return Moved ? It->second.Order.To : Requested.Version;
}

void RolloutService::observe(const Observation &Result) {
  Host.metrics().count("requests_total{route=\"" + Result.Route.str() +
                       "\",version=\"" + Result.Version.str() + "\",failed=\"" +
                       (Result.Failed ? "1" : "0") + "\"}");
  const std::lock_guard Lock{Mutex};
  const auto It = Moves.find(Result.Route);
  if (It != Moves.end() && It->second.End == MoveOutcome::InProgress) {
    It->second.Local.observe(DecisionClock::now(), Result);
  }
}

json RolloutService::status() const {
  json Result = json::array();
  for (const auto &[Name, State] : Stream.fold().moves()) {
    Result.push_back({{"move", Name.str()},
                      {"route", State.Order.On.str()},
                      {"from", State.Order.From.str()},
                      {"to", State.Order.To.str()},
                      {"state", std::string{toString(State.End)}},
                      {"share_permille", State.share()},
                      {"requests", State.New.Requests},
                      {"failed", State.New.Failed},
                      {"slow", State.New.Slow},
                      {"reason", State.Reason},
                      {"ended_ms", State.Ended.time_since_epoch().count()}});
  }
  return Result;
}

void RolloutService::updateMoves() {
  const auto &Confirmed = Host.service<CatalogService>().catalog().moves();
  for (const auto &[Name, State] : Stream.fold().moves()) {
    const auto It = Confirmed.find(Name);
    updateMove(State, It == Confirmed.end() ? 0 : It->second.Version);
  }
}

void RolloutService::updateMove(const MoveState &State, std::uint64_t Version) {
  const std::lock_guard Lock{Mutex};
  auto It = Moves.find(State.Order.On);
  const bool Same =
      It != Moves.end() && It->second.Order.Name == State.Order.Name;
  if (!Same) {
    if (It != Moves.end() && It->second.Version > Version) {
      return; // The route already has a newer move.
    }
    ActiveMove Created{State.Order, 0, MoveOutcome::InProgress, Version,
                       ExposureLimiter{State.Order}};
    Created.Local.expireAt(DecisionClock::now() +
                           internal::untilWall(State.Order.Deadline));
    It = Moves.insert_or_assign(State.Order.On, Created).first;
  }
  auto &Active = It->second;
  if (Active.End != State.End) {
    log(LogLevel::Info, "move.ended",
        {{"move", State.Order.Name.str()},
         {"state", std::string{toString(State.End)}},
         {"reason", State.Reason}});
  }
  Active.Share = State.share();
  Active.End = State.End;
}

void RolloutService::run(boost::asio::yield_context Yield) {
  boost::asio::steady_timer Timer{Host.control()};
  while (true) {
    Timer.expires_after(internal::PollInterval);
    Timer.async_wait(Yield);
    if (!Stream.ready()) {
      continue;
    }
    try {
      report(Yield);
      if (DecisionClock::now() >= NextPublish) {
        NextPublish = DecisionClock::now() + internal::PublishInterval;
        publishBegins(Yield);
        publishEnds(Yield);
      }
    } catch (const Error &) {
      Host.metrics().count("log_append_failures_total");
    }
  }
}

void RolloutService::append(boost::asio::yield_context Yield,
                            const std::string &StreamName,
                            const std::string &Record) {
  (void)Log.append(Yield, StreamName, Record,
                   DecisionClock::now() + internal::AppendTimeout);
}

std::optional<Evidence> RolloutService::takeEvidence(bool FaultsOnly) {
  const std::lock_guard Lock{Mutex};
  for (auto &[Route, Active] : Moves) {
    const bool Due =
        FaultsOnly ? Active.Local.unreportedFault() : Active.Local.unreported();
    if (Active.End == MoveOutcome::InProgress && Due) {
      Active.Local.markReported();
      return Evidence{Active.Order.Name, Host.self(), Active.Local.oldCounts(),
                      Active.Local.newCounts()};
    }
  }
  return std::nullopt;
}

void RolloutService::report(boost::asio::yield_context Yield) {
  const bool Due = DecisionClock::now() >= NextReport;
  while (const auto Unreported = takeEvidence(!Due)) {
    append(Yield, "rollout", encode(RolloutRecord{*Unreported}));
  }
  if (!Due) {
    return;
  }
  NextReport = DecisionClock::now() + internal::ReportInterval;
  const auto &View = Host.service<Membership>().view();
  if (Stream.fold().busy() && View.home("rollout") == Host.self().Vm) {
    append(Yield, "rollout", encode(RolloutRecord{MoveTick{}}));
  }
}

void RolloutService::publishBegins(boost::asio::yield_context Yield) {
  const auto Catalog = Host.service<CatalogService>().snapshot();
  const auto &View = Host.service<Membership>().view();
  for (const auto &[Name, Entry] : Catalog->moves()) {
    const bool Missing = !Entry.Ended && Stream.fold().find(Name) == nullptr;
    if (Missing && View.home("move/" + Name.str()) == Host.self().Vm) {
      append(Yield, "rollout", encode(RolloutRecord{MoveBegin{Entry.What}}));
    }
  }
}

void RolloutService::publishEnds(boost::asio::yield_context Yield) {
  const auto Catalog = Host.service<CatalogService>().snapshot();
  const auto &View = Host.service<Membership>().view();
  for (const auto &[Name, Entry] : Catalog->moves()) {
    const auto *State = Stream.fold().find(Name);
    const bool Skip = State == nullptr ||
                      State->End == MoveOutcome::InProgress || Entry.Ended;
    if (!Skip && View.home("move/" + Name.str()) == Host.self().Vm) {
      append(Yield, "config",
             encode(ConfigRecord{
                 MoveEnded{Name, State->End == MoveOutcome::Completed}}));
    }
  }
}

} // namespace goldcrestnotch
