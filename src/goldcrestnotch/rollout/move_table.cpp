/// @file
/// How evidence and time move versions.

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

/// Requests in a thousand on the new version, by stage.
static constexpr std::array<std::uint32_t, 6> Shares{10,  50,  150,
                                                     400, 700, 1'000};
static constexpr std::uint32_t LastStage = Shares.size() - 1;
/// The last stage begins at this part of the time that a move has.
static constexpr double LastStageAt = 0.7;
/// A move is done at this part of its time.
static constexpr double DoneAt = 0.9;
/// A stage waits for this many requests, while there is time.
static constexpr std::uint64_t StageRequests = 5;
/// A stage without enough requests ends when this much of a further stage's
/// time has passed.
static constexpr double StarvedWait = 0.5;
/// Chance that a good move is taken back by one kind of ordinary fault.
static constexpr double FalseAlarm = 0.0005;
static constexpr std::uint64_t LeastSeen = 3;
static constexpr double LeastUsual = 0.002;
static constexpr double LeastBad = 0.2;
static constexpr double MostBad = 0.95;
static constexpr double BadRatio = 5;
static constexpr std::size_t KeptMoves = 200;

[[nodiscard]] static double usual(std::uint64_t Requests,
                                  std::uint64_t Faults) {
  return (static_cast<double>(Faults) + LeastUsual) /
         (static_cast<double>(Requests) + 1);
}

static void add(VersionCounts &Sum, const VersionCounts &Delta) {
  Sum.Requests += Delta.Requests;
  Sum.Failed += Delta.Failed;
  Sum.Slow += Delta.Slow;
}

/// @brief What a VM saw since its last evidence; a repeat gives nothing.
[[nodiscard]] static VersionCounts since(const VersionCounts &Now,
                                         const VersionCounts &Before) {
  const auto Grown = [](std::uint64_t A, std::uint64_t B) {
    return A > B ? A - B : 0;
  };
  return {Grown(Now.Requests, Before.Requests),
          Grown(Now.Failed, Before.Failed), Grown(Now.Slow, Before.Slow)};
}

} // namespace internal

void FaultTest::update(std::uint64_t Requests, std::uint64_t Faults,
                       double Usual) {
  const double Good = std::clamp(Usual, internal::LeastUsual, 0.5);
  const double Bad = std::clamp(Good * internal::BadRatio, internal::LeastBad,
                                internal::MostBad);
  const auto Passed =
      static_cast<double>(Requests - std::min(Requests, Faults));
  Sum += static_cast<double>(Faults) * std::log(Bad / Good) +
         Passed * std::log((1 - Bad) / (1 - Good));
  Sum = std::max(Sum, 0.0);
  Seen += Requests;
}

bool FaultTest::detected() const noexcept {
  // Each request is a chance to be fooled, so the bound grows with their count.
  const auto Count = static_cast<double>(std::max(Seen, internal::LeastSeen));
  return Sum > std::log(Count / internal::FalseAlarm);
}

std::string_view toString(MoveOutcome End) noexcept {
  switch (End) {
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
    return internal::Shares[Stage];
  }
  return End == MoveOutcome::Completed ? internal::Shares[internal::LastStage]
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
  // What was due before this record is decided without it.
  for (auto &[Name, At] : Moves) {
    advance(At);
  }
  std::visit([&](const auto &What) { take(What); }, Record);
}

void MoveTable::take(const MoveBegin &Begun) {
  if (Moves.contains(Begun.What.Name)) {
    return;
  }
  for (auto &[Name, At] : Moves) {
    if (At.What.On == Begun.What.On && At.End == MoveOutcome::InProgress) {
      return;
    }
  }
  while (Moves.size() >= internal::KeptMoves) {
    const auto Oldest = std::min_element(
        Moves.begin(), Moves.end(), [](const auto &A, const auto &B) {
          return A.second.Begun < B.second.Begun;
        });
    Moves.erase(Oldest);
  }
  MoveState Fresh;
  Fresh.What = Begun.What;
  Fresh.Begun = Time;
  auto &At = Moves.emplace(Begun.What.Name, Fresh).first->second;
  advance(At);
}

void MoveTable::take(const Evidence &Seen) {
  const auto It = Moves.find(Seen.Name);
  if (It == Moves.end() || It->second.End != MoveOutcome::InProgress) {
    return;
  }
  auto &At = It->second;
  auto &Before = At.Last[Seen.Observer];
  const auto Old = internal::since(Seen.Old, Before.Old);
  const auto New = internal::since(Seen.New, Before.New);
  Before = Seen;
  internal::add(At.Old, Old);
  internal::add(At.New, New);
  At.StageRequests += New.Requests;
  At.Failures.update(New.Requests, New.Failed,
                     internal::usual(At.Old.Requests, At.Old.Failed));
  At.Slowness.update(New.Requests, New.Slow,
                     internal::usual(At.Old.Requests, At.Old.Slow));
  if (At.Failures.detected()) {
    end(At, MoveOutcome::RolledBack, "the new version fails");
  } else if (At.Slowness.detected()) {
    end(At, MoveOutcome::RolledBack, "the new version is slow");
  }
}

void MoveTable::advance(MoveState &At) const {
  if (At.End != MoveOutcome::InProgress) {
    return;
  }
  if (Time >= At.What.Deadline) {
    end(At, MoveOutcome::RolledBack, "the deadline passed");
    return;
  }
  const auto Whole = std::chrono::duration<double>{At.What.Deadline - At.Begun};
  const double Passed = std::chrono::duration<double>{Time - At.Begun} / Whole;
  const double Step = internal::LastStageAt / internal::LastStage;
  while (At.Stage < internal::LastStage) {
    const double Due = Step * (At.Stage + 1);
    const bool Fed = At.StageRequests >= internal::StageRequests;
    const bool Starved = Passed >= Due + Step * internal::StarvedWait;
    if (Passed < Due || (!Fed && !Starved)) {
      return;
    }
    ++At.Stage;
    At.StageRequests = 0;
  }
  if (Passed >= internal::DoneAt) {
    end(At, MoveOutcome::Completed, "no fault was seen");
  }
}

void MoveTable::end(MoveState &At, MoveOutcome How, std::string Reason) const {
  At.End = How;
  At.Ended = Time;
  At.Reason = std::move(Reason);
  At.Last.clear();
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

[[nodiscard]] static json saveMove(const MoveState &At) {
  json Result{{"begin", json::parse(encode(RolloutRecord{MoveBegin{At.What}}))},
              {"begun", millis(At.Begun)},
              {"stage", At.Stage},
              {"end", static_cast<int>(At.End)},
              {"ended", millis(At.Ended)},
              {"reason", At.Reason},
              {"old", countsJson(At.Old)},
              {"new", countsJson(At.New)},
              {"fed", At.StageRequests},
              {"failures", At.Failures.Sum},
              {"slowness", At.Slowness.Sum},
              {"tested", At.Failures.Seen},
              {"last", json::array()}};
  for (const auto &[Observer, Seen] : At.Last) {
    Result["last"].push_back(json::parse(encode(RolloutRecord{Seen})));
  }
  return Result;
}

[[nodiscard]] static MoveState loadMove(const json &Source) {
  MoveState At;
  At.What = std::get<MoveBegin>(decodeRollout(Source.at("begin").dump())).What;
  At.Begun = logTime(Source.at("begun"));
  At.Stage = std::min(Source.at("stage").get<std::uint32_t>(), LastStage);
  At.End = static_cast<MoveOutcome>(Source.at("end").get<int>());
  At.Ended = logTime(Source.at("ended"));
  At.Reason = Source.at("reason").get<std::string>();
  At.Old = countsOf(Source.at("old"));
  At.New = countsOf(Source.at("new"));
  At.StageRequests = Source.at("fed").get<std::uint64_t>();
  At.Failures.Sum = Source.at("failures").get<double>();
  At.Slowness.Sum = Source.at("slowness").get<double>();
  At.Failures.Seen = Source.at("tested").get<std::uint64_t>();
  At.Slowness.Seen = At.Failures.Seen;
  for (const auto &One : Source.at("last")) {
    const auto Seen = std::get<Evidence>(decodeRollout(One.dump()));
    At.Last[Seen.Observer] = Seen;
  }
  return At;
}

} // namespace internal

std::string MoveTable::save() const {
  json Result{{"next", Next},
              {"time", internal::millis(Time)},
              {"moves", json::array()}};
  for (const auto &[Name, At] : Moves) {
    Result["moves"].push_back(internal::saveMove(At));
  }
  return Result.dump();
}

MoveTable MoveTable::load(std::string_view Text) {
  try {
    const auto Source = json::parse(Text);
    MoveTable Result;
    Result.Next = Source.at("next").get<std::uint64_t>();
    Result.Time = internal::logTime(Source.at("time"));
    for (const auto &One : Source.at("moves")) {
      auto At = internal::loadMove(One);
      Result.Moves.emplace(At.What.Name, At);
    }
    return Result;
  } catch (const json::exception &Failure) {
    throw std::invalid_argument{Failure.what()};
  } catch (const std::bad_variant_access &) {
    throw std::invalid_argument{"a saved move is not a move"};
  }
}

} // namespace goldcrestnotch
