/// @file
/// A simulation of a version move in virtual time: VMs with real exposure
/// limiters, a real `MoveTable`, and a new version with a fault.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/rollout/exposure_limiter.hpp"
#include "goldcrestnotch/rollout/move_table.hpp"
#include "model/timeline.hpp"

namespace model {

using namespace goldcrestnotch;

/// @brief The fault of the new version.
enum class FaultKind { None, AtOnce, Later, UnderLoad, Slow };

/// @brief Settings of a simulated move.
struct MoveTrial {
  std::size_t Vms = 8;
  double PerSecond = 100;
  Millis Length{60'000}; ///< From the confirmation of the move to its
                         ///< deadline.
  FaultKind Fault = FaultKind::None;
  double FailShare = 1; ///< Share of the new version's requests that meet
                        ///< the fault while it is active.
  double BaseFailureRate = 0.001;
  Millis OutageStart{0};    ///< Start of a log outage.
  Millis OutageDuration{0}; ///< Duration of the log outage.
};

/// @brief Results of a simulated move.
struct MoveResult {
  MoveOutcome End = MoveOutcome::InProgress;
  bool InTime = false;
  std::uint64_t Requests = 0;
  std::uint64_t Exposed = 0; ///< Requests that met the fault.
  Millis Reaction{0};        ///< From the first request that met the fault
                             ///< to the last.
};

/// @brief Simulates one move.
class MoveFleet {
public:
  MoveFleet(const MoveTrial &Trial, std::uint64_t Seed)
      : Trial{Trial}, Random{Seed} {
    TestedMove = Move{MoveId{"m"}, RouteId{"chat"}, VersionId{"v1"},
                      VersionId{"v2"}, LogTime{Trial.Length}};
    for (std::size_t I = 0; I < Trial.Vms; ++I) {
      Limiters.emplace_back(TestedMove);
      Limiters.back().expireAt(Instant{} + Trial.Length);
    }
  }

  [[nodiscard]] MoveResult run() {
    // The move begins before the first request, so the limiters have no earlier
    // latencies to compare with.
    apply(MoveBegin{TestedMove});
    scheduleRequest();
    scheduleReport();
    Clock.run(Instant{} + Trial.Length + Millis{5'000});
    const auto &State = *Table.find(TestedMove.Name);
    Result.End = State.End;
    Result.InTime = State.End != MoveOutcome::InProgress &&
                    State.Ended <= TestedMove.Deadline + Millis{1'000};
    return Result;
  }

private:
  static constexpr Millis LogDelay{10};
  static constexpr Millis ReportInterval{1'000};
  static constexpr Millis UrgentPollInterval{50};

  [[nodiscard]] double randomUnit() {
    return std::uniform_real_distribution<double>{}(Random);
  }

  [[nodiscard]] bool logUnavailable() const {
    const auto Start = Instant{} + Trial.OutageStart;
    return Clock.now() >= Start && Clock.now() < Start + Trial.OutageDuration;
  }

  void apply(const RolloutRecord &Record) {
    Table.apply(Table.next(), LogTime{Clock.now().time_since_epoch()}, Record);
  }

  void scheduleRequest() {
    std::exponential_distribution<double> Gap{Trial.PerSecond / 1'000};
    const auto Delay = Millis{static_cast<std::int64_t>(Gap(Random)) + 1};
    Clock.after(Delay, [this] {
      const auto Batch = static_cast<int>(Trial.PerSecond / 1'000) + 1;
      for (int I = 0; I < Batch; ++I) {
        request();
      }
      scheduleRequest();
    });
  }

  void request() {
    ++Result.Requests;
    const auto &State = *Table.find(TestedMove.Name);
    auto &Limiter = Limiters[Random() % Trial.Vms];
    const bool ToNewVersion =
        Random() % 1'000 < State.share() &&
        (State.End != MoveOutcome::InProgress || Limiter.allows(Clock.now()));
    Observation Observed{TestedMove.On,
                         ToNewVersion ? TestedMove.To : TestedMove.From, false,
                         Millis{20}, Millis{5}};
    const bool MeetsFault =
        ToNewVersion && faulty(State) && randomUnit() < Trial.FailShare;
    if (MeetsFault && Trial.Fault == FaultKind::Slow) {
      Observed.FirstByte = Millis{450};
    }
    Observed.Failed = (MeetsFault && Trial.Fault != FaultKind::Slow) ||
                      randomUnit() < Trial.BaseFailureRate;
    if (MeetsFault) {
      recordExposure();
    }
    Limiter.observe(Clock.now(), Observed);
  }

  [[nodiscard]] bool faulty(const MoveState &State) const {
    static constexpr std::uint32_t LoadShare = 400;
    switch (Trial.Fault) {
    case FaultKind::None:
      return false;
    case FaultKind::Later:
      return Clock.now() > Instant{} + Trial.Length / 2;
    case FaultKind::UnderLoad:
      return State.share() >= LoadShare;
    case FaultKind::AtOnce:
    case FaultKind::Slow:
      return true;
    }
    return false;
  }

  void recordExposure() {
    ++Result.Exposed;
    if (Result.Exposed == 1) {
      FirstExposure = Clock.now();
    }
    Result.Reaction = Clock.now() - FirstExposure;
  }

  void scheduleReport() {
    Clock.after(UrgentPollInterval, [this] {
      const bool ReportDue = Clock.now() >= ReportDeadline;
      ReportDeadline =
          ReportDue ? Clock.now() + ReportInterval : ReportDeadline;
      for (std::size_t I = 0; I < Limiters.size() && !logUnavailable(); ++I) {
        auto &Limiter = Limiters[I];
        if (Limiter.unreportedFault() || (ReportDue && Limiter.unreported())) {
          const Evidence Report{TestedMove.Name,
                                HolderId{VmId{"vm" + std::to_string(I)}, 1},
                                Limiter.oldCounts(), Limiter.newCounts()};
          Limiter.markReported();
          Clock.after(LogDelay, [this, Report] { apply(Report); });
        }
      }
      if (ReportDue && !logUnavailable()) {
        apply(MoveTick{});
      }
      scheduleReport();
    });
  }

  MoveTrial Trial;
  std::mt19937_64 Random;
  Timeline Clock;
  Move TestedMove;
  MoveTable Table;
  std::vector<ExposureLimiter> Limiters;
  MoveResult Result;
  Instant FirstExposure{};
  Instant ReportDeadline{};
};

} // namespace model
