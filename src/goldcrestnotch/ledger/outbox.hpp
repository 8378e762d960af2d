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
enum class Urgency : std::uint8_t { Now, Lazy };

/// @brief An ordered outbox of ledger items.
class Outbox {
public:
  /// How long lazy items may wait for others to share an append with.
  static constexpr Millis LazyWait{1'000};

  /// @param Self The holder whose batches these are; the first batch joins.
  /// @param Spacing Least time between the starts of two appends.
  Outbox(HolderId Self, Millis Spacing)
      : Self{std::move(Self)}, Spacing{Spacing} {
    emplace(Join{});
  }

  [[nodiscard]] const HolderId &self() const noexcept { return Self; }
  [[nodiscard]] std::size_t size() const noexcept {
    return Waiting.size() + (Flying ? Flying->Items.size() : 0);
  }
  /// @brief The sequence number of the batch that the next item goes into.
  [[nodiscard]] std::uint64_t upcoming() const noexcept { return Sequence + 1; }

  /// @brief Adds an item behind those that wait.
  /// @return The sequence number of its batch.
  std::uint64_t emplace(Item What, Urgency When = Urgency::Now) {
    Waiting.push_back(std::move(What));
    Urgent = Urgent || When == Urgency::Now;
    return upcoming();
  }

  /// @brief The batch to append now, if it is time for one.
  [[nodiscard]] std::optional<Batch> poll(Instant Now) {
    if (Busy || Now < Earliest || (!Flying && Waiting.empty())) {
      return std::nullopt;
    }
    if (!Flying && !Urgent && !lazyDue(Now)) {
      return std::nullopt;
    }
    if (!Flying) {
      Flying = Batch{Self, ++Sequence, std::exchange(Waiting, {})};
      Urgent = false;
      LazyDeadline = Instant{};
    }
    Busy = true;
    Earliest = Now + Spacing;
    return Flying;
  }

  /// @brief When `poll` should be asked again; nothing to append gives the
  /// farthest instant.
  [[nodiscard]] Instant deadline() const noexcept {
    if (Busy || (!Flying && Waiting.empty())) {
      return Instant::max();
    }
    return Flying || Urgent ? Earliest : std::max(Earliest, LazyDeadline);
  }

  /// @brief The append ended without an answer; it may have taken effect.
  void fail(Instant Now, Millis Wait) noexcept {
    Busy = false;
    Earliest = Now + Wait;
  }

  /// @brief The log has the batches up to a sequence number.
  void acknowledge(std::uint64_t UpTo) noexcept {
    if (Flying && Flying->Sequence <= UpTo) {
      Flying.reset();
      Busy = false;
    }
  }

  /// @brief Lets lazy items wait no longer.
  void hurry() noexcept { Urgent = Urgent || !Waiting.empty(); }

private:
  /// @brief Whether lazy items have waited long enough; begins their wait.
  [[nodiscard]] bool lazyDue(Instant Now) noexcept {
    if (LazyDeadline == Instant{}) {
      LazyDeadline = Now + LazyWait;
    }
    return Now >= LazyDeadline;
  }

  HolderId Self;
  Millis Spacing;
  std::vector<Item> Waiting;
  std::optional<Batch> Flying; ///< Appended at least once, not known as kept.
  std::uint64_t Sequence = 0;  ///< Of the last batch formed.
  Instant Earliest{};
  bool Urgent = false;    ///< Of the waiting items, one at least is.
  Instant LazyDeadline{}; ///< Of lazy items; the epoch before their wait.
  bool Busy = false;      ///< An append of `Flying` awaits its answer.
};

} // namespace goldcrestnotch
