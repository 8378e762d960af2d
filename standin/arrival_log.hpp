/// @file
/// Records when requests arrived, and counts them within windows of time.

#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"

namespace standin {

/// @brief Arrival times in ascending order.
class ArrivalLog {
public:
  using Instant = goldcrestnotch::Instant;
  using Millis = goldcrestnotch::Millis;

  void add(Instant When) {
    Times.insert(std::upper_bound(Times.begin(), Times.end(), When), When);
  }
  /// @brief Number of arrivals in the half-open interval.
  [[nodiscard]] std::size_t count(Instant From, Instant To) const {
    return static_cast<std::size_t>(
        std::lower_bound(Times.begin(), Times.end(), To) -
        std::lower_bound(Times.begin(), Times.end(), From));
  }
  /// @brief Largest number of arrivals in a window that begins after an
  /// instant.
  [[nodiscard]] std::size_t most(Millis Window, Instant Since) const {
    std::size_t Result = 0;
    for (auto First = std::lower_bound(Times.begin(), Times.end(), Since);
         First != Times.end(); ++First) {
      Result = std::max(Result, count(*First, *First + Window));
    }
    return Result;
  }

private:
  std::vector<Instant> Times;
};

} // namespace standin
