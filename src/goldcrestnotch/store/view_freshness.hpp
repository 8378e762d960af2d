/// @file
/// Decides whether a VM's copy of a partition is recent enough for decisions
/// that can't be taken back, such as that a route does not exist.

#pragma once

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/store/log.hpp"
#include <algorithm>

namespace goldcrestnotch::store {

/// @brief How current a copy of a partition is. Does no I/O and reads no clock.
///
/// A proof is a read that reached the end of the partition, by this VM or by
/// another one. While nobody has a newer proof, as in an outage of the store,
/// an old copy is as good as that of any other VM. It is outdated only if
/// another VM is known to have more.
class ViewFreshness {
public:
  /// @param MaxAge How old the proof of a copy may be while another VM has
  /// newer records.
  explicit ViewFreshness(Millis MaxAge) noexcept : MaxAge{MaxAge} {}

  /// @brief Whether there is a proof at all.
  [[nodiscard]] bool proven() const noexcept { return ProvenAt != Instant{}; }
  [[nodiscard]] Millis maxAge() const noexcept { return MaxAge; }
  /// @brief The age of the newest proof.
  [[nodiscard]] Millis age(Instant Now) const noexcept {
    return Now - ProvenAt;
  }
  /// @brief Whether another VM has records that this one misses.
  [[nodiscard]] bool behind() const noexcept { return OthersEnd > OwnEnd; }
  /// @brief Until when a decision by the copy may take effect.
  [[nodiscard]] Instant usableUntil() const noexcept {
    return (behind() ? ProvenAt : std::max(ProvenAt, ConfirmedAt)) + MaxAge;
  }
  /// @brief Whether the copy is known to be too old to decide by.
  [[nodiscard]] bool outdated(Instant Now) const noexcept {
    return behind() && age(Now) > MaxAge;
  }

  void update(Millis NewMaxAge) noexcept { MaxAge = NewMaxAge; }
  /// @brief Records that nobody who could be asked had a newer proof then.
  void confirm(Instant When) noexcept {
    ConfirmedAt = std::max(ConfirmedAt, When);
  }
  /// @brief Records what this VM has.
  /// @param When All records that the store had then are known.
  /// @param End The newest known position plus one.
  void observeOwn(Instant When, Position End) noexcept {
    ProvenAt = std::max(ProvenAt, When);
    OwnEnd = End;
    if (!behind()) {
      ProvenAt = std::max(ProvenAt, OthersProvenAt);
    }
  }
  /// @brief Records what another VM has.
  /// @param When All records that the store had then are known to it.
  /// @param End The newest position that it knows plus one.
  void observeOther(Instant When, Position End) noexcept {
    // The newest proof counts and not the greatest end, so that a wrong report
    // is corrected by the next one.
    if (When >= OthersProvenAt) {
      OthersEnd = End;
      OthersProvenAt = When;
    }
    if (End <= OwnEnd) {
      ProvenAt = std::max(ProvenAt, When);
    }
  }

private:
  Millis MaxAge;
  Instant ProvenAt{}; ///< All records of that time are known to this VM.
  /// Nobody who was asked then had a newer proof, so the copy was as good as
  /// any that could be had.
  Instant ConfirmedAt{};
  Position OwnEnd;
  /// The report of another VM with the newest proof.
  Position OthersEnd;
  Instant OthersProvenAt{};
};

} // namespace goldcrestnotch::store
