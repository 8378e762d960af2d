/// @file
/// What a holder has to say to a ledger stream: one append at a time, repeated
/// as it was until the log has it.

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/ledger/record.hpp"

namespace goldcrestnotch {

/// @brief Whether somebody waits for an item to stand in the log.
enum class Urgency : std::uint8_t { Immediate, Deferred };

/// @brief An ordered outbox of ledger items.
class Outbox {
public:
  /// How long lazy items may wait for others to share an append with.
  static constexpr Millis MaxDeferral{1'000};

  /// @param Self The holder whose batches these are; the first batch joins.
  /// @param Spacing Least time between the starts of two appends.
  Outbox(HolderId Self, Millis Spacing)
      : Self{std::move(Self)}, Spacing{Spacing} {
    emplace(Join{});
  }

  [[nodiscard]] const HolderId &self() const noexcept { return Self; }
  [[nodiscard]] std::size_t size() const noexcept {
    return Pending.size() + (InFlight ? InFlight->Items.size() : 0);
  }
  /// @brief The sequence number of the batch that the next item goes into.
  [[nodiscard]] std::uint64_t nextSequence() const noexcept {
    return Sequence + 1;
  }

  /// @brief Adds an item behind those that wait.
  /// @return The sequence number of its batch.
  std::uint64_t emplace(Item Entry, Urgency Priority = Urgency::Immediate) {
    Pending.push_back(std::move(Entry));
    Urgent = Urgent || Priority == Urgency::Immediate;
    return nextSequence();
  }

  /// @brief The batch to append now, if it is time for one.
  [[nodiscard]] std::optional<Batch> poll(Instant Now) {
    if (AwaitingAnswer || Now < EarliestAppend ||
        (!InFlight && Pending.empty())) {
      return std::nullopt;
    }
    if (!InFlight && !Urgent && !deferredDue(Now)) {
      return std::nullopt;
    }
    if (!InFlight) {
      InFlight = Batch{Self, ++Sequence, std::exchange(Pending, {})};
      Urgent = false;
      DeferredDeadline = Instant{};
    }
    AwaitingAnswer = true;
    EarliestAppend = Now + Spacing;
    return InFlight;
  }

  /// @brief When `poll` should be asked again; nothing to append gives the
  /// farthest instant.
  [[nodiscard]] Instant deadline() const noexcept {
    if (AwaitingAnswer || (!InFlight && Pending.empty())) {
      return Instant::max();
    }
    return InFlight || Urgent ? EarliestAppend
                              : std::max(EarliestAppend, DeferredDeadline);
  }

  /// @brief The append ended without an answer; it may have taken effect.
  void fail(Instant Now, Millis Backoff) noexcept {
    AwaitingAnswer = false;
    EarliestAppend = Now + Backoff;
  }

  /// @brief The log has the batches up to a sequence number.
  void acknowledge(std::uint64_t UpTo) noexcept {
    if (InFlight && InFlight->Sequence <= UpTo) {
      InFlight.reset();
      AwaitingAnswer = false;
    }
  }

  /// @brief Lets lazy items wait no longer.
  void expedite() noexcept { Urgent = Urgent || !Pending.empty(); }

private:
  /// @brief Whether lazy items have waited long enough; begins their wait.
  [[nodiscard]] bool deferredDue(Instant Now) noexcept {
    if (DeferredDeadline == Instant{}) {
      DeferredDeadline = Now + MaxDeferral;
    }
    return Now >= DeferredDeadline;
  }

  HolderId Self;
  Millis Spacing;
  std::vector<Item> Pending;
  std::optional<Batch> InFlight; ///< Appended at least once, not known as kept.
  std::uint64_t Sequence = 0;    ///< Of the last batch formed.
  Instant EarliestAppend{};
  bool Urgent = false;         ///< Of the waiting items, one at least is.
  Instant DeferredDeadline{};  ///< Of lazy items; the epoch before their wait.
  bool AwaitingAnswer = false; ///< An append of `InFlight` awaits its answer.
};

} // namespace goldcrestnotch
