/// @file
/// Limits the retries that all VMs together send to a service. Each VM stays
/// within its own share, so the limit holds without communication.

#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/routing/configuration.hpp"

namespace goldcrestnotch::backend {

/// @brief The limit over all VMs: within a window, a service gets at most
/// `Ratio` retries per request plus `Slack`.
struct RetryBudgetSettings {
  double Ratio = 0.2; ///< Retries per request in the window.
  double Slack = 10;  ///< Retries allowed regardless of the request count.
  Millis Window{10'000};
};

/// @brief One VM's share of the retries to each service. No I/O, no clock.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetSettings Settings) : Settings{Settings} {}

  /// @brief Whether one more request to a service may be retried.
  [[nodiscard]] bool allows(Instant Now, const routing::ServiceId &Service) {
    auto &Usage = UsageByService[Service];
    trim(Now, Usage);
    const double Share = Settings.Slack * SlackShare / Vms;
    const double Limit = Settings.Ratio * RatioShare *
                             static_cast<double>(Usage.Requests.size()) +
                         Share;
    return static_cast<double>(Usage.Retries.size()) + 1 <= Limit;
  }

  /// @brief Records that a caller's request for a service arrived.
  void observeRequest(Instant Now, const routing::ServiceId &Service) {
    UsageByService[Service].Requests.push_back(Now);
    trim(Now, UsageByService[Service]);
  }
  /// @brief Records that a request was retried.
  void observeRetry(Instant Now, const routing::ServiceId &Service) {
    UsageByService[Service].Retries.push_back(Now);
  }
  /// @brief Replaces the settings.
  void update(RetryBudgetSettings NewSettings) { Settings = NewSettings; }
  /// @brief Raises the number of VMs that share the limit. The number never
  /// falls, since a VM that is no longer visible may still send.
  void updateVmCount(std::size_t Count) {
    Vms = std::max(Vms, static_cast<double>(Count));
  }

private:
  /// Fractions of the limit that are used. The rest is a safety margin: a VM
  /// that restarts forgets the retries it has sent, and the windows of two VMs
  /// are not aligned.
  static constexpr double RatioShare = 0.7;
  static constexpr double SlackShare = 0.5;

  /// @brief Times of the requests and retries to one service.
  struct ServiceUsage {
    std::deque<Instant> Requests;
    std::deque<Instant> Retries;
  };

  /// @brief Drops what is older than the window.
  void trim(Instant Now, ServiceUsage &Usage) const {
    const auto WindowStart = Now - Settings.Window;
    while (!Usage.Requests.empty() && Usage.Requests.front() < WindowStart) {
      Usage.Requests.pop_front();
    }
    while (!Usage.Retries.empty() && Usage.Retries.front() < WindowStart) {
      Usage.Retries.pop_front();
    }
  }

  RetryBudgetSettings Settings;
  double Vms = 1;
  std::map<routing::ServiceId, ServiceUsage> UsageByService;
};

} // namespace goldcrestnotch::backend
