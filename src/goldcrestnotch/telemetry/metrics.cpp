/// @file
/// Implementation of the metrics with Boost.Histogram, and their output in the
/// Prometheus text format.

#include "goldcrestnotch/telemetry/metrics.hpp"

#include <map>
#include <mutex>
#include <sstream>

#include <boost/histogram.hpp>

namespace goldcrestnotch {

namespace internal {

namespace bh = boost::histogram;

/// @brief Makes an empty histogram of latencies.
/// @return A histogram whose bin edges are in seconds.
[[nodiscard]] static auto makeHistogram() {
  return bh::make_histogram(bh::axis::variable<double>{
      0.0, 0.0005, 0.001, 0.002, 0.003, 0.005, 0.01, 0.02, 0.045, 0.1, 0.2,
      0.31, 0.5, 1.0, 2.0, 5.0, 10.0});
}
using Histogram = decltype(makeHistogram());

/// @brief A latency histogram and the sum of its observations, which the
/// Prometheus format requires.
struct LatencyHistogram {
  Histogram Bins = makeHistogram();
  double Sum = 0;
};

/// @brief Writes a histogram with cumulative bucket counts.
/// @details Index -1 is the underflow bin and index `size()` the overflow bin.
static void write(std::ostream &Output, const std::string &Name,
                  const LatencyHistogram &Latency) {
  double Count = Latency.Bins.at(-1);
  const auto &Axis = Latency.Bins.axis();
  for (int I = 0; I < Axis.size(); ++I) {
    Count += Latency.Bins.at(I);
    Output << Name << "_bucket{le=\"" << Axis.bin(I).upper() << "\"} " << Count
           << '\n';
  }
  Count += Latency.Bins.at(Axis.size());
  Output << Name << "_bucket{le=\"+Inf\"} " << Count << '\n'
         << Name << "_sum " << Latency.Sum << '\n'
         << Name << "_count " << Count << '\n';
}

} // namespace internal

struct Metrics::State {
  mutable std::mutex Mutex; ///< Guards the members below.
  std::map<std::string, std::uint64_t, std::less<>> Counters;
  std::map<std::string, double, std::less<>> Gauges;
  std::map<std::string, internal::LatencyHistogram, std::less<>> Latencies;
};

Metrics::Metrics() : Self{std::make_unique<State>()} {}
Metrics::~Metrics() = default;

std::string Metrics::text() const {
  const std::lock_guard Lock{Self->Mutex};
  std::ostringstream Output;
  for (const auto &[Name, Value] : Self->Counters) {
    Output << "goldcrestnotch_" << Name << ' ' << Value << '\n';
  }
  for (const auto &[Name, Value] : Self->Gauges) {
    Output << "goldcrestnotch_" << Name << ' ' << Value << '\n';
  }
  for (const auto &[Name, Value] : Self->Latencies) {
    internal::write(Output, "goldcrestnotch_" + Name, Value);
  }
  return Output.str();
}

void Metrics::count(std::string_view Name, std::uint64_t Increment) {
  const std::lock_guard Lock{Self->Mutex};
  Self->Counters[std::string{Name}] += Increment;
}

void Metrics::set(std::string_view Name, double Value) {
  const std::lock_guard Lock{Self->Mutex};
  Self->Gauges[std::string{Name}] = Value;
}

void Metrics::observe(std::string_view Name, double Seconds) {
  const std::lock_guard Lock{Self->Mutex};
  auto &Latency = Self->Latencies[std::string{Name}];
  Latency.Bins(Seconds);
  Latency.Sum += Seconds;
}

} // namespace goldcrestnotch
