/// @file
/// Metrics on Boost.Histogram.

#include "goldcrestnotch/telemetry/metrics.hpp"

#include <map>
#include <mutex>
#include <sstream>

#include <boost/histogram.hpp>

namespace goldcrestnotch {

namespace internal {

namespace bh = boost::histogram;

/// Upper edges of latency bins, in seconds.
[[nodiscard]] static auto makeHistogram() {
  return bh::make_histogram(bh::axis::variable<double>{
      0.0, 0.0005, 0.001, 0.002, 0.003, 0.005, 0.01, 0.02, 0.045, 0.1, 0.2,
      0.31, 0.5, 1.0, 2.0, 5.0, 10.0});
}
using Histogram = decltype(makeHistogram());

/// @brief A histogram with the sum that Prometheus wants.
struct Latency {
  Histogram Bins = makeHistogram();
  double Sum = 0;
};

static void write(std::ostream &Out, const std::string &Name,
                  const Latency &Source) {
  double Count = Source.Bins.at(-1);
  const auto &Axis = Source.Bins.axis();
  for (int I = 0; I < Axis.size(); ++I) {
    Count += Source.Bins.at(I);
    Out << Name << "_bucket{le=\"" << Axis.bin(I).upper() << "\"} " << Count
        << '\n';
  }
  Count += Source.Bins.at(Axis.size());
  Out << Name << "_bucket{le=\"+Inf\"} " << Count << '\n'
      << Name << "_sum " << Source.Sum << '\n'
      << Name << "_count " << Count << '\n';
}

} // namespace internal

struct Metrics::State {
  mutable std::mutex Mutex; ///< Guards all below.
  std::map<std::string, std::uint64_t, std::less<>> Counters;
  std::map<std::string, double, std::less<>> Gauges;
  std::map<std::string, internal::Latency, std::less<>> Latencies;
};

Metrics::Metrics() : Self{std::make_unique<State>()} {}
Metrics::~Metrics() = default;

std::string Metrics::text() const {
  const std::lock_guard Lock{Self->Mutex};
  std::ostringstream Out;
  for (const auto &[Name, Value] : Self->Counters) {
    Out << "goldcrestnotch_" << Name << ' ' << Value << '\n';
  }
  for (const auto &[Name, Value] : Self->Gauges) {
    Out << "goldcrestnotch_" << Name << ' ' << Value << '\n';
  }
  for (const auto &[Name, Value] : Self->Latencies) {
    internal::write(Out, "goldcrestnotch_" + Name, Value);
  }
  return Out.str();
}

void Metrics::count(std::string_view Name, std::uint64_t By) {
  const std::lock_guard Lock{Self->Mutex};
  Self->Counters[std::string{Name}] += By;
}

void Metrics::set(std::string_view Name, double Value) {
  const std::lock_guard Lock{Self->Mutex};
  Self->Gauges[std::string{Name}] = Value;
}

void Metrics::observe(std::string_view Name, double Seconds) {
  const std::lock_guard Lock{Self->Mutex};
  auto &Target = Self->Latencies[std::string{Name}];
  Target.Bins(Seconds);
  Target.Sum += Seconds;
}

} // namespace goldcrestnotch
