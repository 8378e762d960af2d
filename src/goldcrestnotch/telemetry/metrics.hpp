/// @file
/// Counters, gauges and latency histograms, shown as Prometheus text.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace goldcrestnotch {

/// @brief The measurements of one process; safe from all threads.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// @brief The Prometheus text of all that was measured.
  [[nodiscard]] std::string text() const;

  /// @brief Adds to a counter.
  /// @param Name Name with labels, such as `refusals_total{cause="busy"}`.
  void count(std::string_view Name, std::uint64_t By = 1);
  /// @brief Sets a gauge.
  void set(std::string_view Name, double Value);
  /// @brief Adds a latency to a histogram.
  void observe(std::string_view Name, double Seconds);

private:
  struct State;
  std::unique_ptr<State> Self;
};

} // namespace goldcrestnotch
