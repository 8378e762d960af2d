/// @file
/// Model of a fleet in virtual time whose VMs share the rate limit of a target,
/// through cuts, freezes, restarts, joins and changes of the limit. It uses the
/// issuer, the choice of issuers and the backoff of the daemon; messages and
/// the roster are modelled.

#include <algorithm>
#include <optional>
#include <ostream>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "arrival_log.hpp"
#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/ratelimit/permit_issuer.hpp"
#include "goldcrestnotch/ratelimit/request_backoff.hpp"
#include "goldcrestnotch/roster/homes.hpp"

namespace goldcrestnotch::ratelimit {
namespace {

constexpr Millis Step{5};
constexpr Millis Window{4'000};
/// Time after which the VMs must keep to a limit that was first stated.
constexpr Millis ReactionTime{3'000};
constexpr Millis VmTimeout{3'500}; ///< Silence after which a VM counts as down.
constexpr Millis ViewInterval{500};
constexpr Millis StartDelay{3'000}; ///< Before a new process issues permits.
constexpr double LostMessages = 0.02;
const TargetId Limited{"limited"};

/// @brief How the requests of a VM depend on the target.
enum class Demand : std::uint8_t {
  OtherTargets, ///< A refused request goes to another target.
  NoOtherTarget ///< A refused request is lost, so it asks all issuers.
};

class FleetModel {
public:
  FleetModel(std::size_t VmCount, RequestRate Limit, double RequestsPerSecond,
             Demand Kind)
      : Limit{Limit}, RequestsPerStep{RequestsPerSecond *
                                      static_cast<double>(Step.count()) /
                                      1'000},
        Kind{Kind} {
    for (std::size_t I = 0; I < VmCount; ++I) {
      join();
      Vms.back().IssueFrom = Now;
    }
  }

  void run(Millis Duration) {
    for (const auto End = Now + Duration; Now < End; Now += Step) {
      for (std::size_t I = 0; I < Vms.size(); ++I) {
        step(I);
      }
    }
  }
  void join() {
    const auto Address = "10.0.0." + std::to_string(Vms.size());
    Vms.push_back(
        {{Address, Address + ":80", 25}, roster::Homes<TargetId>{Address}});
    Vms.back().IssueFrom = Now + StartDelay;
  }
  void restart(std::size_t Index) {
    auto &Vm = Vms[Index];
    Vm.Issuer = {};
    Vm.IssueFrom = Now + StartDelay;
    Vm.NextView = Vm.PermitRetry = Instant{};
  }
  /// @brief Lets a VM stand still; its state is what it was when it goes on.
  void freeze(std::size_t Index, Millis Duration) {
    Vms[Index].FrozenUntil = Now + Duration;
  }
  /// @brief Cuts the first VMs off from the store and from all others, or
  /// reconnects them if the number is zero.
  void isolate(std::size_t Count) { Isolated = Count; }
  /// @brief Changes the limit; all VMs learn it at once.
  void changeLimit(RequestRate NewLimit) {
    Limit = NewLimit;
    for (auto &Vm : Vms) {
      Vm.PermitRetry = Instant{};
    }
  }

  [[nodiscard]] std::size_t size() const { return Vms.size(); }
  /// @brief Numbers of the VMs that issue permits, as the first VM sees it.
  [[nodiscard]] std::vector<std::size_t> issuers() {
    std::vector<std::size_t> Result;
    for (const auto &Control : Vms.front().Issuers.otherHomes(Limited)) {
      Result.push_back(indexOf(Control));
    }
    if (Vms.front().Issuers.isHome(Limited)) {
      Result.push_back(0);
    }
    return Result;
  }
  [[nodiscard]] const standin::ArrivalLog &arrivals() const { return Arrivals; }
  [[nodiscard]] Instant now() const { return Now; }
  /// @brief Largest number of arrivals that the target allows in `Window`.
  [[nodiscard]] std::size_t allowed() const {
    return static_cast<std::size_t>(
        1.5 * Limit.perSecond() * static_cast<double>(Window.count()) / 1'000 +
        5);
  }
  /// @brief Three quarters of what the target takes in a time.
  [[nodiscard]] std::size_t expected(Millis Duration) const {
    return static_cast<std::size_t>(0.75 * Limit.perSecond() *
                                    static_cast<double>(Duration.count()) /
                                    1'000);
  }

private:
  struct ModelVm {
    roster::LiveVm Entry;
    roster::Homes<TargetId> Issuers;
    PermitIssuer Issuer{};
    Instant IssueFrom{};
    Instant PermitRetry{};
    Instant NextView{};
    Instant LastRecord{};
    Instant FrozenUntil{};
    std::vector<std::size_t> View{}; ///< Numbers of the live VMs.
  };

  [[nodiscard]] bool connected(std::size_t A, std::size_t B) const {
    return A == B ||
           (A >= Isolated && B >= Isolated && Now >= Vms[B].FrozenUntil);
  }

  void updateView(std::size_t Index) {
    auto &Vm = Vms[Index];
    if (Now < Vm.NextView) {
      return;
    }
    Vm.NextView = Now + ViewInterval;
    if (Index < Isolated) {
      return; // Its view stays as it was.
    }
    Vm.LastRecord = Now;
    std::vector<std::size_t> View;
    for (std::size_t I = 0; I < Vms.size(); ++I) {
      if (Now - Vms[I].LastRecord < VmTimeout) {
        View.push_back(I);
      }
    }
    if (View == Vm.View) {
      return;
    }
    Vm.View = std::move(View);
    std::vector<roster::LiveVm> Live;
    for (const auto Number : Vm.View) {
      Live.push_back(Vms[Number].Entry);
    }
    Vm.Issuers.update(Live, IssuersPerTarget);
  }

  /// @brief The response of an issuer.
  [[nodiscard]] Permit ask(std::size_t Index, Millis MaxWait) {
    auto &Vm = Vms[Index];
    if (Now < Vm.IssueFrom || !Vm.Issuers.isHome(Limited)) {
      return {false, Millis{300}};
    }
    const auto Count = Vm.Issuers.otherHomes(Limited).size() + 1;
    return Vm.Issuer.issue(
        Now, hashOf(Limited.str()),
        RequestRate{Limit.perSecond() / static_cast<double>(Count)}, MaxWait);
  }

  [[nodiscard]] std::size_t indexOf(const std::string &Control) const {
    return static_cast<std::size_t>(
        std::find_if(Vms.begin(), Vms.end(),
                     [&](const ModelVm &Vm) {
                       return Vm.Entry.ControlAddress == Control;
                     }) -
        Vms.begin());
  }

  void step(std::size_t Index) {
    if (Now < Vms[Index].FrozenUntil) {
      return;
    }
    updateView(Index);
    auto &Vm = Vms[Index];
    if (draw() >= RequestsPerStep) {
      return;
    }
    const bool AskAll = Kind == Demand::NoOtherTarget;
    if (!AskAll && Now < Vm.PermitRetry) {
      return;
    }
    const Millis MaxWait = AskAll ? Millis{200} : Millis{0};
    std::vector<std::size_t> Asked;
    if (Vm.Issuers.isHome(Limited)) {
      Asked.push_back(Index);
    }
    for (const auto &Control : Vm.Issuers.otherHomes(Limited)) {
      Asked.push_back(indexOf(Control));
    }
    Asked.resize(std::min(Asked.size(), AskAll ? Asked.size() : 1));
    for (const auto Issuer : Asked) {
      if (!connected(Index, Issuer) || draw() < LostMessages) {
        continue;
      }
      const auto Response = ask(Issuer, MaxWait);
      if (Response.Granted) {
        Arrivals.add(Now + Response.Wait);
        return;
      }
    }
    Vm.PermitRetry = Now + requestBackoff(Limit, Vms.size(), draw());
  }

  double draw() { return std::uniform_real_distribution<double>{}(Random); }

  RequestRate Limit;
  double RequestsPerStep;
  Demand Kind;
  Instant Now{Millis{100'000}};
  std::vector<ModelVm> Vms;
  std::size_t Isolated = 0;
  standin::ArrivalLog Arrivals;
  std::mt19937_64 Random{11};
};

struct Fleet {
  std::size_t Vms;
  double Limit;
  double RequestsPerSecond; ///< Of one VM.
  Demand Kind;

  friend std::ostream &operator<<(std::ostream &Stream, const Fleet &Self) {
    return Stream << Self.Vms << "_vms_limit_" << Self.Limit;
  }
};

class RateLimitFleet : public testing::TestWithParam<Fleet> {
protected:
  RateLimitFleet()
      : Model{GetParam().Vms, RequestRate{GetParam().Limit},
              GetParam().RequestsPerSecond, GetParam().Kind},
        Begin{Model.now()} {
    Model.run(Millis{8'000});
  }

  void expectLimitHolds() const {
    EXPECT_LE(Model.arrivals().most(Window, Begin), Model.allowed());
  }
  /// @brief Checks the last part of the time.
  void expectMostIsUsed(Millis Duration) const {
    EXPECT_GE(Model.arrivals().count(Model.now() - Duration, Model.now()),
              Model.expected(Duration));
  }

  FleetModel Model;
  Instant Begin;
};

TEST_P(RateLimitFleet, TargetGetsMostOfItsLimitAndNoMore) {
  Model.run(Millis{20'000});
  expectLimitHolds();
  expectMostIsUsed(Millis{20'000});
}

TEST_P(RateLimitFleet, LimitHoldsWhileHalfOfTheFleetIsIsolated) {
  Model.isolate(Model.size() / 2);
  Model.run(Millis{10'000});
  Model.isolate(0);
  Model.run(Millis{8'000});
  expectLimitHolds();
}

TEST_P(RateLimitFleet, LimitHoldsWhileVmsRestartInTurn) {
  for (std::size_t I = 0; I < std::min<std::size_t>(Model.size(), 20); ++I) {
    Model.restart(I);
    Model.run(Millis{700});
  }
  expectLimitHolds();
}

TEST_P(RateLimitFleet, LimitHoldsWhileVmsJoin) {
  for (std::size_t I = 0; I < GetParam().Vms / 3; ++I) {
    Model.join();
    Model.run(Millis{100});
  }
  expectLimitHolds();
}

TEST_P(RateLimitFleet, LimitHoldsAndIsUsedAgainWhenIssuersHaveFrozen) {
  for (const auto Issuer : Model.issuers()) {
    Model.freeze(Issuer, Millis{6'000});
  }
  Model.run(Millis{26'000});
  expectLimitHolds();
  expectMostIsUsed(Millis{18'000});
}

TEST_P(RateLimitFleet, LimitThatFallsHoldsSoon) {
  Model.changeLimit(RequestRate{GetParam().Limit / 3});
  const auto Changed = Model.now();
  Model.run(Millis{20'000});
  EXPECT_LE(Model.arrivals().most(Window, Changed + ReactionTime),
            Model.allowed());
}

TEST_P(RateLimitFleet, LimitThatRisesIsUsedSoon) {
  Model.changeLimit(RequestRate{RequestRate::MinPerSecond});
  Model.run(Millis{10'000});
  Model.changeLimit(RequestRate{GetParam().Limit});
  Model.run(Millis{18'000});
  expectLimitHolds();
  expectMostIsUsed(Millis{16'000});
}

INSTANTIATE_TEST_SUITE_P(
    Sizes, RateLimitFleet,
    testing::Values(Fleet{9, 3.5, 1, Demand::OtherTargets},
                    Fleet{9, 3.5, 8, Demand::NoOtherTarget},
                    Fleet{9, 0.8, 8, Demand::NoOtherTarget},
                    Fleet{300, 3.5, 0.1, Demand::OtherTargets},
                    Fleet{300, 3.5, 5, Demand::NoOtherTarget},
                    Fleet{300, 40, 1, Demand::NoOtherTarget}));

} // namespace
} // namespace goldcrestnotch::ratelimit
