/// @file
/// A model of a version move in virtual time: routers with their real brakes,
/// the real fold, and a new version with a fault.

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

/// @brief What is wrong with the new version.
enum class Badness { None, AtOnce, Later, UnderLoad, Slow };

/// @brief One move to try.
struct MoveTrial {
  std::size_t Vms = 8;
  double PerSecond = 100;
  Millis Length{60'000}; ///< From its confirmation to its deadline.
  Badness What = Badness::None;
  double FailShare = 1; ///< Of the new version's requests, once it is bad.
  double UsualFailures = 0.001;
  Millis OutageFrom{0}; ///< The log is out from here on,
  Millis OutageFor{0};  ///< for so long.
};

/// @brief What came of it.
struct MoveResult {
  MoveOutcome End = MoveOutcome::InProgress;
  bool InTime = false;
  std::uint64_t Requests = 0;
  std::uint64_t Exposed = 0; ///< Requests that met the fault.
  Millis Reaction{0};        ///< From the first fault met to the last.
};

/// @brief Runs one move.
class MoveFleet {
public:
  MoveFleet(const MoveTrial &Given, std::uint64_t Seed)
      : Given{Given}, Random{Seed} {
    What = Move{MoveId{"m"}, RouteId{"chat"}, VersionId{"v1"}, VersionId{"v2"},
                LogTime{Given.Length}};
    for (std::size_t I = 0; I < Given.Vms; ++I) {
      Limiters.emplace_back(What);
      Limiters.back().expireAt(Instant{} + Given.Length);
    }
  }

  [[nodiscard]] MoveResult go() {
    // Requests before the move, so that usual times are known where there is
    // any traffic.
    enter(MoveBegin{What});
    arrive();
    report();
    Clock.run(Instant{} + Given.Length + Millis{5'000});
    const auto &At = *Fold.find(What.Name);
    Result.End = At.End;
    Result.InTime = At.End != MoveOutcome::InProgress &&
                    At.Ended <= What.Deadline + Millis{1'000};
    return Result;
  }

private:
  static constexpr Millis LogDelay{10};
  static constexpr Millis ReportEvery{1'000};
  static constexpr Millis UrgentPoll{50};

  [[nodiscard]] double unit() {
    return std::uniform_real_distribution<double>{}(Random);
  }

  [[nodiscard]] bool down() const {
    const auto From = Instant{} + Given.OutageFrom;
    return Clock.now() >= From && Clock.now() < From + Given.OutageFor;
  }

  void enter(const RolloutRecord &Record) {
    Fold.apply(Fold.next(), LogTime{Clock.now().time_since_epoch()}, Record);
  }

  void arrive() {
    std::exponential_distribution<double> Gap{Given.PerSecond / 1'000};
    const auto Wait = Millis{static_cast<std::int64_t>(Gap(Random)) + 1};
    Clock.after(Wait, [this] {
      const auto Batch = static_cast<int>(Given.PerSecond / 1'000) + 1;
      for (int I = 0; I < Batch; ++I) {
        request();
      }
      arrive();
    });
  }

  void request() {
    ++Result.Requests;
    const auto &At = *Fold.find(What.Name);
    auto &Local = Limiters[Random() % Given.Vms];
    const bool New =
        Random() % 1'000 < At.share() &&
        (At.End != MoveOutcome::InProgress || Local.allows(Clock.now()));
    Observation Seen{What.On, New ? What.To : What.From, false, Millis{20},
                     Millis{5}};
    const bool Met = New && faulty(At) && unit() < Given.FailShare;
    if (Met && Given.What == Badness::Slow) {
      Seen.FirstByte = Millis{450};
    }
    Seen.Failed =
        (Met && Given.What != Badness::Slow) || unit() < Given.UsualFailures;
    if (Met) {
      note();
    }
    Local.observe(Clock.now(), Seen);
  }

  [[nodiscard]] bool faulty(const MoveState &At) const {
    static constexpr std::uint32_t LoadShare = 400;
    switch (Given.What) {
    case Badness::None:
      return false;
    case Badness::Later:
      return Clock.now() > Instant{} + Given.Length / 2;
    case Badness::UnderLoad:
      return At.share() >= LoadShare;
    case Badness::AtOnce:
    case Badness::Slow:
      return true;
    }
    return false;
  }

  void note() {
    ++Result.Exposed;
    if (Result.Exposed == 1) {
      FirstMet = Clock.now();
    }
    Result.Reaction = Clock.now() - FirstMet;
  }

  void report() {
    Clock.after(UrgentPoll, [this] {
      const bool Due = Clock.now() >= ReportDeadline;
      ReportDeadline = Due ? Clock.now() + ReportEvery : ReportDeadline;
      for (std::size_t I = 0; I < Limiters.size() && !down(); ++I) {
        auto &Local = Limiters[I];
        if (Local.unreportedFault() || (Due && Local.unreported())) {
          const Evidence Seen{What.Name,
                              HolderId{VmId{"vm" + std::to_string(I)}, 1},
                              Local.oldCounts(), Local.newCounts()};
          Local.markReported();
          Clock.after(LogDelay, [this, Seen] { enter(Seen); });
        }
      }
      if (Due && !down()) {
        enter(MoveTick{});
      }
      report();
    });
  }

  MoveTrial Given;
  std::mt19937_64 Random;
  Timeline Clock;
  Move What;
  MoveTable Fold;
  std::vector<ExposureLimiter> Limiters;
  MoveResult Result;
  Instant FirstMet{};
  Instant ReportDeadline{};
};

} // namespace model
