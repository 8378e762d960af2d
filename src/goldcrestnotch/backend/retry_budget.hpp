/// @file
/// Bounds what all VMs together send a second time. Each VM keeps to its own
/// share, so the bound holds without any exchange between them.

#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/routing/configuration.hpp"

namespace goldcrestnotch::backend {

/// @brief The bound over all VMs.
struct RetryBudgetSettings {
  double Ratio = 0.2; ///< Retries for each request of a window.
  double Slack = 10;  ///< Retries besides.
  Millis Window{10'000};
};

/// @brief One VM's share of the repeats to each service. No I/O, no clock.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetSettings Terms) : Terms{Terms} {}

  /// @brief Whether one more request may be sent again to a service.
  [[nodiscard]] bool allows(Instant Now, const routing::ServiceId &To) {
    auto &At = Counts[To];
    trim(Now, At);
    const double Share = Terms.Slack * SlackShare / Vms;
    const double Bound =
        Terms.Ratio * RatioShare * static_cast<double>(At.Requests.size()) +
        Share;
    return static_cast<double>(At.Retries.size()) + 1 <= Bound;
  }

  /// @brief A caller's request for a service arrived.
  void observeRequest(Instant Now, const routing::ServiceId &To) {
    Counts[To].Requests.push_back(Now);
    trim(Now, Counts[To]);
  }
  /// @brief A request was sent again.
  void observeRetry(Instant Now, const routing::ServiceId &To) {
    Counts[To].Retries.push_back(Now);
  }
  /// @brief The terms have changed.
  void update(RetryBudgetSettings Given) { Terms = Given; }
  /// @brief Takes the count of VMs that share the bound; never falls, since a
  /// VM that is out of sight may still send.
  void updateVmCount(std::size_t Count) {
    Vms = std::max(Vms, static_cast<double>(Count));
  }

private:
  /// Parts of the bound that are used: a VM that restarts forgets what it has
  /// sent, and windows of two VMs are not the same.
  static constexpr double RatioShare = 0.7;
  static constexpr double SlackShare = 0.5;

  struct Count {
    std::deque<Instant> Requests;
    std::deque<Instant> Retries;
  };

  void trim(Instant Now, Count &At) const {
    const auto Old = Now - Terms.Window;
    while (!At.Requests.empty() && At.Requests.front() < Old) {
      At.Requests.pop_front();
    }
    while (!At.Retries.empty() && At.Retries.front() < Old) {
      At.Retries.pop_front();
    }
  }

  RetryBudgetSettings Terms;
  double Vms = 1;
  std::map<routing::ServiceId, Count> Counts;
};

} // namespace goldcrestnotch::backend
