/// @file
/// One VM's own judgement of a moving version: what counts as slow, and a brake
/// that stops its traffic to the new version at the first fault it sees.

#pragma once

#include <cstdint>
#include <string>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/rollout/observation.hpp"
#include "goldcrestnotch/rollout/record.hpp"

namespace goldcrestnotch {

/// @brief The local state of one move. No I/O, no clock.
class ExposureLimiter {
public:
  explicit ExposureLimiter(Move What) : What{std::move(What)} {}

  /// @brief Whether the new version may get a request.
  [[nodiscard]] bool allows(Instant Now) const noexcept {
    return Now >= PauseDeadline && Now < HardDeadline;
  }
  [[nodiscard]] const VersionCounts &oldCounts() const noexcept { return Old; }
  [[nodiscard]] const VersionCounts &newCounts() const noexcept { return New; }
  /// @brief Whether counts have changed since `reported`.
  [[nodiscard]] bool unreported() const noexcept { return Fresh; }
  /// @brief Whether a fault has been seen since `reported`.
  [[nodiscard]] bool unreportedFault() const noexcept { return Urgent; }

  /// @brief Past this instant nothing goes to the new version, whatever the
  /// log says or does not say.
  void expireAt(Instant When) noexcept { HardDeadline = When; }
  /// @brief Takes a request's end in.
  void observe(Instant Now, const Observation &Seen);
  /// @brief The counts have been sent.
  void markReported() noexcept { Fresh = Urgent = false; }

private:
  /// @brief A mean of the old version's times.
  struct Baseline {
    std::uint64_t Samples = 0;
    double MeanMs = 0;

    void add(Millis Span);
    /// @brief Whether a span is too long beside the usual one.
    [[nodiscard]] bool exceeded(Millis Span, double Ratio, Millis Floor,
                                Millis Goal) const;
  };

  [[nodiscard]] bool slow(const Observation &Seen) const;

  Move What;
  VersionCounts Old;
  VersionCounts New;
  Baseline FirstByte;
  Baseline Between;
  Instant PauseDeadline{};
  Instant HardDeadline = Instant::max();
  std::uint32_t Pauses = 0; ///< In a row, without a good answer between.
  bool Fresh = false;
  bool Urgent = false;
};

} // namespace goldcrestnotch
