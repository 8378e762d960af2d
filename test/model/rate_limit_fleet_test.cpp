/// @file
/// Model of a fleet in virtual time whose VMs share the rate limit of a target,
/// through cuts, restarts and joins. It uses the issuer, the choice of issuers
/// and the backoff of the daemon; messages and the roster are modelled.

#include <algorithm>
#include <deque>
#include <ostream>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/ratelimit/permit_issuer.hpp"
#include "goldcrestnotch/ratelimit/request_backoff.hpp"
#include "goldcrestnotch/roster/homes.hpp"

namespace goldcrestnotch::ratelimit {
namespace {

constexpr Millis Step{5};
constexpr Millis Window{4'000};
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
  /// @brief Cuts the first VMs off from the store and from all others, or
  /// reconnects them if the number is zero.
  void isolate(std::size_t Count) { Isolated = Count; }

  [[nodiscard]] std::size_t size() const { return Vms.size(); }
  [[nodiscard]] std::size_t mostArrivals(Instant Since) const {
    std::size_t Most = 0;
    for (auto First = std::lower_bound(Arrivals.begin(), Arrivals.end(), Since);
         First != Arrivals.end(); ++First) {
      const auto End = std::lower_bound(First, Arrivals.end(), *First + Window);
      Most = std::max(Most, static_cast<std::size_t>(End - First));
    }
    return Most;
  }
  [[nodiscard]] std::size_t arrivals(Instant From, Instant To) const {
    return static_cast<std::size_t>(
        std::lower_bound(Arrivals.begin(), Arrivals.end(), To) -
        std::lower_bound(Arrivals.begin(), Arrivals.end(), From));
  }
  [[nodiscard]] Instant now() const { return Now; }
  /// @brief Largest number of arrivals that the target allows in `Window`.
  [[nodiscard]] std::size_t allowed() const {
    return static_cast<std::size_t>(
        1.5 * Limit.perSecond() * static_cast<double>(Window.count()) / 1'000 +
        5);
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
  };

  [[nodiscard]] bool connected(std::size_t A, std::size_t B) const {
    return A == B || (A >= Isolated && B >= Isolated);
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
    std::vector<roster::LiveVm> Live;
    for (const auto &Other : Vms) {
      if (Now - Other.LastRecord < VmTimeout) {
        Live.push_back(Other.Entry);
      }
    }
    Vm.Issuers.update(std::move(Live), IssuersPerTarget);
  }

  [[nodiscard]] std::optional<Permit> ask(std::size_t Index, Millis MaxWait) {
    auto &Vm = Vms[Index];
    if (Now < Vm.IssueFrom || !Vm.Issuers.isHome(Limited)) {
      return Permit{false, Millis{300}};
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
      if (Response->Granted) {
        const auto Arrival = Now + Response->Wait;
        Arrivals.insert(
            std::upper_bound(Arrivals.begin(), Arrivals.end(), Arrival),
            Arrival);
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
  std::deque<Instant> Arrivals;
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

  FleetModel Model;
  Instant Begin;
};

TEST_P(RateLimitFleet, TargetGetsMostOfItsLimitAndNoMore) {
  const auto From = Model.now();
  Model.run(Millis{20'000});
  EXPECT_LE(Model.mostArrivals(Begin), Model.allowed());
  EXPECT_GE(Model.arrivals(From, Model.now()),
            static_cast<std::size_t>(0.75 * GetParam().Limit * 20));
}

TEST_P(RateLimitFleet, LimitHoldsWhileHalfOfTheFleetIsIsolated) {
  Model.isolate(Model.size() / 2);
  Model.run(Millis{10'000});
  Model.isolate(0);
  Model.run(Millis{8'000});
  EXPECT_LE(Model.mostArrivals(Begin), Model.allowed());
}

TEST_P(RateLimitFleet, LimitHoldsWhileVmsRestartInTurn) {
  for (std::size_t I = 0; I < std::min<std::size_t>(Model.size(), 20); ++I) {
    Model.restart(I);
    Model.run(Millis{700});
  }
  EXPECT_LE(Model.mostArrivals(Begin), Model.allowed());
}

TEST_P(RateLimitFleet, LimitHoldsWhileVmsJoin) {
  for (std::size_t I = 0; I < GetParam().Vms / 3; ++I) {
    Model.join();
    Model.run(Millis{100});
  }
  EXPECT_LE(Model.mostArrivals(Begin), Model.allowed());
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
