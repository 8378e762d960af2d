/// @file
/// The rollout plug-in.

#include "goldcrestnotch/rollout/service.hpp"

#include <nlohmann/json.hpp>

#include "goldcrestnotch/catalog/service.hpp"
#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/membership/membership.hpp"

namespace goldcrestnotch {

using nlohmann::json;

namespace internal {

static constexpr Millis Poll{50};
static constexpr Millis ReportEvery{1'000};
static constexpr Millis CarryEvery{500};
static constexpr Millis AppendLimit{2'000};
static constexpr std::uint64_t Thousand = 1'000;
static const RegisterPlugin<RolloutService> Registered{Stage::Fleet, "rollout"};

static void applyRollout(MoveTable &Target, const LogRecord &One) {
  Target.apply(One.Offset, One.When, decodeRollout(One.Body));
}

/// @brief How far off an instant of the platform's clock is by this VM's.
[[nodiscard]] static Millis untilWall(LogTime When) {
  return std::chrono::duration_cast<Millis>(When -
                                            std::chrono::system_clock::now());
}

} // namespace internal

RolloutService::RolloutService(Kernel &Host)
    : Host{Host}, Log{Host.settings().Platform},
      Source{Host.control(), Log, "rollout", internal::applyRollout,
             FollowerHooks{[this] { changed(); },
                           [this](const LogRecord &) {
                             this->Host.metrics().count(
                                 "log_records_bad_total");
                           }}} {
  Host.emplace(*this);
}

void RolloutService::start() {
  Source.start();
  boost::asio::spawn(Host.control(),
                     [this](boost::asio::yield_context Yield) { run(Yield); });
}

VersionId RolloutService::versionFor(const Route &On, const RequestId &Request,
                                     bool First) {
  const std::lock_guard Lock{Mutex};
  const auto It = Moves.find(On.Name);
  if (It == Moves.end() || It->second.End == MoveOutcome::RolledBack) {
    return On.Version;
  }
  const auto &At = It->second;
  if (At.End == MoveOutcome::Completed) {
    return On.Version == At.What.From ? At.What.To : On.Version;
  }
  const auto Draw =
      hashOf(At.What.Name.str() + Request.str()) % internal::Thousand;
  const bool New =
      First && Draw < At.Share && At.Local.allows(DecisionClock::now());
  return New ? At.What.To : At.What.From;
}

VersionId RolloutService::settledVersion(const Route &On) {
  const std::lock_guard Lock{Mutex};
  const auto It = Moves.find(On.Name);
  const bool Moved = It != Moves.end() &&
                     It->second.End == MoveOutcome::Completed &&
                     On.Version == It->second.What.From;
  return Moved ? It->second.What.To : On.Version;
}

void RolloutService::observe(const Observation &Seen) {
  Host.metrics().count("requests_total{route=\"" + Seen.On.str() +
                       "\",version=\"" + Seen.Version.str() + "\",failed=\"" +
                       (Seen.Failed ? "1" : "0") + "\"}");
  const std::lock_guard Lock{Mutex};
  const auto It = Moves.find(Seen.On);
  if (It != Moves.end() && It->second.End == MoveOutcome::InProgress) {
    It->second.Local.observe(DecisionClock::now(), Seen);
  }
}

json RolloutService::status() const {
  json Rows = json::array();
  for (const auto &[Name, At] : Source.fold().moves()) {
    Rows.push_back({{"move", Name.str()},
                    {"route", At.What.On.str()},
                    {"from", At.What.From.str()},
                    {"to", At.What.To.str()},
                    {"state", std::string{toString(At.End)}},
                    {"share_permille", At.share()},
                    {"requests", At.New.Requests},
                    {"failed", At.New.Failed},
                    {"slow", At.New.Slow},
                    {"reason", At.Reason},
                    {"ended_ms", At.Ended.time_since_epoch().count()}});
  }
  return Rows;
}

void RolloutService::changed() {
  const auto &Known = Host.service<CatalogService>().catalog().moves();
  for (const auto &[Name, At] : Source.fold().moves()) {
    const auto It = Known.find(Name);
    adoptMove(At, It == Known.end() ? 0 : It->second.Version);
  }
}

void RolloutService::adoptMove(const MoveState &State, std::uint64_t Version) {
  const std::lock_guard Lock{Mutex};
  auto It = Moves.find(State.What.On);
  const bool Same =
      It != Moves.end() && It->second.What.Name == State.What.Name;
  if (!Same) {
    if (It != Moves.end() && It->second.Version > Version) {
      return; // An older move of the route.
    }
    Active Fresh{State.What, 0, MoveOutcome::InProgress, Version,
                 ExposureLimiter{State.What}};
    Fresh.Local.expireAt(DecisionClock::now() +
                         internal::untilWall(State.What.Deadline));
    It = Moves.insert_or_assign(State.What.On, Fresh).first;
  }
  auto &At = It->second;
  if (At.End != State.End) {
    log(LogLevel::Info, "move.ended",
        {{"move", State.What.Name.str()},
         {"state", std::string{toString(State.End)}},
         {"reason", State.Reason}});
  }
  At.Share = State.share();
  At.End = State.End;
}

void RolloutService::run(boost::asio::yield_context Yield) {
  boost::asio::steady_timer Timer{Host.control()};
  while (true) {
    Timer.expires_after(internal::Poll);
    Timer.async_wait(Yield);
    if (!Source.ready()) {
      continue;
    }
    try {
      report(Yield);
      if (DecisionClock::now() >= CarryDeadline) {
        CarryDeadline = DecisionClock::now() + internal::CarryEvery;
        carryMoves(Yield);
        carryEnds(Yield);
      }
    } catch (const Error &) {
      Host.metrics().count("log_append_failures_total");
    }
  }
}

void RolloutService::append(boost::asio::yield_context Yield,
                            const std::string &Stream,
                            const std::string &Record) {
  (void)Log.append(Yield, Stream, Record,
                   DecisionClock::now() + internal::AppendLimit);
}

std::optional<Evidence> RolloutService::takeEvidence(bool UrgentOnly) {
  const std::lock_guard Lock{Mutex};
  for (auto &[On, At] : Moves) {
    const bool Due =
        UrgentOnly ? At.Local.unreportedFault() : At.Local.unreported();
    if (At.End == MoveOutcome::InProgress && Due) {
      At.Local.markReported();
      return Evidence{At.What.Name, Host.self(), At.Local.oldCounts(),
                      At.Local.newCounts()};
    }
  }
  return std::nullopt;
}

void RolloutService::report(boost::asio::yield_context Yield) {
  const bool Due = DecisionClock::now() >= ReportDeadline;
  while (const auto Seen = takeEvidence(!Due)) {
    append(Yield, "rollout", encode(RolloutRecord{*Seen}));
  }
  if (!Due) {
    return;
  }
  ReportDeadline = DecisionClock::now() + internal::ReportEvery;
  const auto &View = Host.service<Membership>().view();
  if (Source.fold().busy() && View.home("rollout") == Host.self().Vm) {
    append(Yield, "rollout", encode(RolloutRecord{MoveTick{}}));
  }
}

void RolloutService::carryMoves(boost::asio::yield_context Yield) {
  const auto Catalog = Host.service<CatalogService>().snapshot();
  const auto &View = Host.service<Membership>().view();
  for (const auto &[Name, Entry] : Catalog->moves()) {
    const bool Missing = !Entry.Ended && Source.fold().find(Name) == nullptr;
    if (Missing && View.home("move/" + Name.str()) == Host.self().Vm) {
      append(Yield, "rollout", encode(RolloutRecord{MoveBegin{Entry.What}}));
    }
  }
}

void RolloutService::carryEnds(boost::asio::yield_context Yield) {
  const auto Catalog = Host.service<CatalogService>().snapshot();
  const auto &View = Host.service<Membership>().view();
  for (const auto &[Name, Entry] : Catalog->moves()) {
    const auto *At = Source.fold().find(Name);
    const bool Told =
        At == nullptr || At->End == MoveOutcome::InProgress || Entry.Ended;
    if (!Told && View.home("move/" + Name.str()) == Host.self().Vm) {
      append(Yield, "config",
             encode(ConfigRecord{
                 MoveEnded{Name, At->End == MoveOutcome::Completed}}));
    }
  }
}

} // namespace goldcrestnotch
