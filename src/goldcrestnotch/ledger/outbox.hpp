/// @file
/// The outbox of a holder: collects ledger items into batches and appends them
/// one at a time. A batch without an answer is repeated unchanged until the log
/// is known to contain it.

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

/// @brief Whether an item must be appended at once or may wait for others.
enum class Urgency : std::uint8_t { Immediate, Deferred };

/// @brief An ordered outbox of ledger items.
class Outbox {
public:
  /// The longest time that deferred items wait to share an append.
  static constexpr Millis MaxDeferral{1'000};

  /// @param Self The holder that sends the batches. The first batch begins
  /// with a `Join`.
  /// @param Spacing Minimum time between the starts of two appends.
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

  /// @brief Adds an item to the next batch.
  /// @return The sequence number of its batch.
  std::uint64_t emplace(Item Entry, Urgency Priority = Urgency::Immediate) {
    Pending.push_back(std::move(Entry));
    Urgent = Urgent || Priority == Urgency::Immediate;
    return nextSequence();
  }

  /// @brief Returns the batch to append now, if one is due, and marks its
  /// append as started.
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

  /// @brief When to call `poll` again, or `Instant::max()` if there is nothing
  /// to append or an append awaits its answer.
  [[nodiscard]] Instant deadline() const noexcept {
    if (AwaitingAnswer || (!InFlight && Pending.empty())) {
      return Instant::max();
    }
    return InFlight || Urgent ? EarliestAppend
                              : std::max(EarliestAppend, DeferredDeadline);
  }

  /// @brief Records that an append ended without an answer. It may have taken
  /// effect, so the same batch is repeated after the backoff.
  void fail(Instant Now, Millis Backoff) noexcept {
    AwaitingAnswer = false;
    EarliestAppend = Now + Backoff;
  }

  /// @brief Records that the log contains the batches up to a sequence number.
  void acknowledge(std::uint64_t UpTo) noexcept {
    if (InFlight && InFlight->Sequence <= UpTo) {
      InFlight.reset();
      AwaitingAnswer = false;
    }
  }

  /// @brief Makes the deferred items due at once.
  void expedite() noexcept { Urgent = Urgent || !Pending.empty(); }

private:
  /// @brief Whether deferred items are due. The first call for them starts
  /// their wait.
  [[nodiscard]] bool deferredDue(Instant Now) noexcept {
    if (DeferredDeadline == Instant{}) {
      DeferredDeadline = Now + MaxDeferral;
    }
    return Now >= DeferredDeadline;
  }

  HolderId Self;
  Millis Spacing;
  std::vector<Item> Pending;
  std::optional<Batch> InFlight; ///< Sent, not yet acknowledged.
  std::uint64_t Sequence = 0;    ///< Sequence number of the last batch.
  Instant EarliestAppend{};
  bool Urgent = false;         ///< At least one pending item is immediate.
  Instant DeferredDeadline{};  ///< Unset (the epoch) before their wait starts.
  bool AwaitingAnswer = false; ///< An append of `InFlight` awaits its answer.
};

} // namespace goldcrestnotch
