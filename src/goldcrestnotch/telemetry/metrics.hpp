/// @file
/// Counters, gauges and latency histograms, exported in the Prometheus text
/// format.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace goldcrestnotch {

/// @brief The metrics of one process. All members are thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// @brief Exports all metrics.
  /// @return The metrics in the Prometheus text format.
  [[nodiscard]] std::string text() const;

  /// @brief Increments a counter.
  /// @param Name Name with labels, such as `refusals_total{cause="budget"}`.
  /// @param Increment Amount to add.
  void count(std::string_view Name, std::uint64_t Increment = 1);
  /// @brief Sets a gauge.
  /// @param Name Name with labels.
  /// @param Value The new value.
  void set(std::string_view Name, double Value);
  /// @brief Adds an observation to a latency histogram.
  /// @param Name Name without labels.
  /// @param Seconds The latency in seconds.
  void observe(std::string_view Name, double Seconds);

private:
  struct State;
  std::unique_ptr<State> Self;
};

} // namespace goldcrestnotch
