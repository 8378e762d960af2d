/// @file
/// Decisions on moves, and the saved form of the table.

#include "goldcrestnotch/rollout/move_table.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "goldcrestnotch/rollout/counts_codec.hpp"

namespace goldcrestnotch {

using nlohmann::json;

namespace internal {

/// Share of the requests that go to the new version in each stage, in permille.
static constexpr std::array<std::uint32_t, 6> StageShares{10,  50,  150,
                                                          400, 700, 1'000};
static constexpr std::uint32_t LastStage = StageShares.size() - 1;
/// Fraction of the move's time after which the last stage may begin.
static constexpr double LastStageStart = 0.7;
/// Fraction of the move's time after which it is completed.
static constexpr double CompletionPoint = 0.9;
/// A stage waits for this many requests on the new version, within limits.
static constexpr std::uint64_t MinStageRequests = 5;
/// A stage without enough requests ends when it has lasted this fraction of a
/// stage longer than planned.
static constexpr double ExtraStageWait = 0.5;
/// Probability that a good move is rolled back by one kind of ordinary fault.
static constexpr double FalseAlarmRate = 0.0005;
static constexpr std::uint64_t MinSamples = 3;
/// Limits on the fault rates that the test compares: the rate of the old
/// version, and the rate of a faulty version, which is a multiple of it.
static constexpr double MinBaselineRate = 0.002;
static constexpr double MinFaultyRate = 0.2;
static constexpr double MaxFaultyRate = 0.95;
static constexpr double FaultyRateRatio = 5;
static constexpr std::size_t MaxMoves = 200;

/// @brief Estimates a version's fault rate; small counts are smoothed.
[[nodiscard]] static double faultRate(std::uint64_t Requests,
                                      std::uint64_t Faults) {
  return (static_cast<double>(Faults) + MinBaselineRate) /
         (static_cast<double>(Requests) + 1);
}

static void add(VersionCounts &Sum, const VersionCounts &Delta) {
  Sum.Requests += Delta.Requests;
  Sum.Failed += Delta.Failed;
  Sum.Slow += Delta.Slow;
}

/// @brief The counts that a VM added since its last evidence; zero if the same
/// evidence arrives again.
[[nodiscard]] static VersionCounts increase(const VersionCounts &Now,
                                            const VersionCounts &Before) {
  const auto Difference = [](std::uint64_t A, std::uint64_t B) {
    return A > B ? A - B : 0;
  };
  return {Difference(Now.Requests, Before.Requests),
          Difference(Now.Failed, Before.Failed),
          Difference(Now.Slow, Before.Slow)};
}

} // namespace internal

void FaultTest::update(std::uint64_t Requests, std::uint64_t Faults,
                       double BaselineRate) {
  const double GoodRate =
      std::clamp(BaselineRate, internal::MinBaselineRate, 0.5);
  const double FaultyRate =
      std::clamp(GoodRate * internal::FaultyRateRatio, internal::MinFaultyRate,
                 internal::MaxFaultyRate);
  const auto Passed =
      static_cast<double>(Requests - std::min(Requests, Faults));
  Sum += static_cast<double>(Faults) * std::log(FaultyRate / GoodRate) +
         Passed * std::log((1 - FaultyRate) / (1 - GoodRate));
  Sum = std::max(Sum, 0.0);
  Samples += Requests;
}

bool FaultTest::detected() const noexcept {
  // Each request is another chance of a false alarm, so the threshold grows
  // with their number.
  const auto Count =
      static_cast<double>(std::max(Samples, internal::MinSamples));
  return Sum > std::log(Count / internal::FalseAlarmRate);
}

std::string_view toString(MoveOutcome Outcome) noexcept {
  switch (Outcome) {
  case MoveOutcome::InProgress:
    return "open";
  case MoveOutcome::Completed:
    return "done";
  case MoveOutcome::RolledBack:
    return "taken back";
  }
  return "";
}

std::uint32_t MoveState::share() const noexcept {
  if (End == MoveOutcome::InProgress) {
    return internal::StageShares[Stage];
  }
  return End == MoveOutcome::Completed
             ? internal::StageShares[internal::LastStage]
             : 0;
}

void MoveTable::skip(std::uint64_t Offset) noexcept {
  Next = std::max(Next, Offset + 1);
}

void MoveTable::apply(std::uint64_t Offset, LogTime When,
                      const RolloutRecord &Record) {
  if (Offset < Next) {
    return;
  }
  Next = Offset + 1;
  Time = std::max(Time, When);
  // Decisions that were due before this record must not depend on it.
  for (auto &[Name, State] : Moves) {
    advance(State);
  }
  std::visit([&](const auto &Content) { applyRecord(Content); }, Record);
}

void MoveTable::applyRecord(const MoveBegin &Begin) {
  if (Moves.contains(Begin.Order.Name)) {
    return;
  }
  for (auto &[Name, State] : Moves) {
    if (State.Order.On == Begin.Order.On &&
        State.End == MoveOutcome::InProgress) {
      return;
    }
  }
  while (Moves.size() >= internal::MaxMoves) {
    const auto Oldest = std::min_element(
        Moves.begin(), Moves.end(), [](const auto &A, const auto &B) {
          return A.second.Begin < B.second.Begin;
        });
    Moves.erase(Oldest);
  }
  MoveState State;
  State.Order = Begin.Order;
  State.Begin = Time;
  auto &Inserted = Moves.emplace(Begin.Order.Name, State).first->second;
  advance(Inserted);
}

void MoveTable::applyRecord(const Evidence &Report) {
  const auto It = Moves.find(Report.Name);
  if (It == Moves.end() || It->second.End != MoveOutcome::InProgress) {
    return;
  }
  auto &State = It->second;
  auto &Before = State.Latest[Report.Observer];
  const auto Old = internal::increase(Report.Old, Before.Old);
  const auto New = internal::increase(Report.New, Before.New);
  Before = Report;
  internal::add(State.Old, Old);
  internal::add(State.New, New);
  State.StageRequests += New.Requests;
  State.Failures.update(
      New.Requests, New.Failed,
      internal::faultRate(State.Old.Requests, State.Old.Failed));
  State.Slowness.update(
      New.Requests, New.Slow,
      internal::faultRate(State.Old.Requests, State.Old.Slow));
  if (State.Failures.detected()) {
    end(State, MoveOutcome::RolledBack, "the new version fails");
  } else if (State.Slowness.detected()) {
    end(State, MoveOutcome::RolledBack, "the new version is slow");
  }
}

void MoveTable::advance(MoveState &State) const {
  if (State.End != MoveOutcome::InProgress) {
    return;
  }
  if (Time >= State.Order.Deadline) {
    end(State, MoveOutcome::RolledBack, "the deadline passed");
    return;
  }
  const auto Span =
      std::chrono::duration<double>{State.Order.Deadline - State.Begin};
  const double Elapsed =
      std::chrono::duration<double>{Time - State.Begin} / Span;
  const double Step = internal::LastStageStart / internal::LastStage;
  while (State.Stage < internal::LastStage) {
    const double Due = Step * (State.Stage + 1);
    const bool Sampled = State.StageRequests >= internal::MinStageRequests;
    const bool Overdue = Elapsed >= Due + Step * internal::ExtraStageWait;
    if (Elapsed < Due || (!Sampled && !Overdue)) {
      return;
    }
    ++State.Stage;
    State.StageRequests = 0;
  }
  if (Elapsed >= internal::CompletionPoint) {
    end(State, MoveOutcome::Completed, "no fault was seen");
  }
}

void MoveTable::end(MoveState &State, MoveOutcome Outcome,
                    std::string Reason) const {
  State.End = Outcome;
  State.Ended = Time;
  State.Reason = std::move(Reason);
  State.Latest.clear();
}

const MoveState *MoveTable::find(const MoveId &Name) const {
  const auto It = Moves.find(Name);
  return It == Moves.end() ? nullptr : &It->second;
}

bool MoveTable::busy() const noexcept {
  return std::any_of(Moves.begin(), Moves.end(), [](const auto &Entry) {
    return Entry.second.End == MoveOutcome::InProgress;
  });
}

namespace internal {

[[nodiscard]] static std::int64_t millis(LogTime When) {
  return When.time_since_epoch().count();
}

[[nodiscard]] static LogTime logTime(const json &Source) {
  return LogTime{Millis{Source.get<std::int64_t>()}};
}

[[nodiscard]] static json saveMove(const MoveState &State) {
  json Result{
      {"begin", json::parse(encode(RolloutRecord{MoveBegin{State.Order}}))},
      {"begun", millis(State.Begin)},
      {"stage", State.Stage},
      {"end", static_cast<int>(State.End)},
      {"ended", millis(State.Ended)},
      {"reason", State.Reason},
      {"old", countsJson(State.Old)},
      {"new", countsJson(State.New)},
      {"fed", State.StageRequests},
      {"failures", State.Failures.Sum},
      {"slowness", State.Slowness.Sum},
      {"tested", State.Failures.Samples},
      {"last", json::array()}};
  for (const auto &[Observer, Report] : State.Latest) {
    Result["last"].push_back(json::parse(encode(RolloutRecord{Report})));
  }
  return Result;
}

[[nodiscard]] static MoveState loadMove(const json &Source) {
  MoveState State;
  State.Order =
      std::get<MoveBegin>(decodeRollout(Source.at("begin").dump())).Order;
  State.Begin = logTime(Source.at("begun"));
  State.Stage = std::min(Source.at("stage").get<std::uint32_t>(), LastStage);
  State.End = static_cast<MoveOutcome>(Source.at("end").get<int>());
  State.Ended = logTime(Source.at("ended"));
  State.Reason = Source.at("reason").get<std::string>();
  State.Old = countsOf(Source.at("old"));
  State.New = countsOf(Source.at("new"));
  State.StageRequests = Source.at("fed").get<std::uint64_t>();
  State.Failures.Sum = Source.at("failures").get<double>();
  State.Slowness.Sum = Source.at("slowness").get<double>();
  State.Failures.Samples = Source.at("tested").get<std::uint64_t>();
  State.Slowness.Samples = State.Failures.Samples;
  for (const auto &Saved : Source.at("last")) {
    const auto Report = std::get<Evidence>(decodeRollout(Saved.dump()));
    State.Latest[Report.Observer] = Report;
  }
  return State;
}

} // namespace internal

std::string MoveTable::save() const {
  json Result{{"next", Next},
              {"time", internal::millis(Time)},
              {"moves", json::array()}};
  for (const auto &[Name, State] : Moves) {
    Result["moves"].push_back(internal::saveMove(State));
  }
  return Result.dump();
}

MoveTable MoveTable::load(std::string_view Text) {
  try {
    const auto Source = json::parse(Text);
    MoveTable Result;
    Result.Next = Source.at("next").get<std::uint64_t>();
    Result.Time = internal::logTime(Source.at("time"));
    for (const auto &Saved : Source.at("moves")) {
      auto State = internal::loadMove(Saved);
      Result.Moves.emplace(State.Order.Name, State);
    }
    return Result;
  } catch (const json::exception &Failure) {
    throw std::invalid_argument{Failure.what()};
  } catch (const std::bad_variant_access &) {
    throw std::invalid_argument{
        "a saved move contains a record of another kind"};
  }
}

} // namespace goldcrestnotch
