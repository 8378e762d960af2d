/// @file
/// Interface of the log that all VMs share: partitions of keyed records with
/// conditional appends. Adapters implement `KeyedLog`.

#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch::store {

/// @brief One partition of a topic. The store keeps at least the newest record
/// of each key.
struct Partition {
  std::string Topic;
  std::uint32_t Number = 0;
};

/// @brief The place of a record in a partition.
///
/// The store begins a new era when it was restored from an older copy: records
/// are lost, and their offsets are given out again. Offsets of different eras
/// therefore can't be compared; a position of a later era is the newer one.
struct Position {
  /// Largest era or offset that a store can reach.
  static constexpr std::uint64_t Max = std::uint64_t{1} << 62U;

  std::uint64_t Era = 0; ///< Zero if the store states none.
  std::uint64_t Offset = 0;

  auto operator<=>(const Position &) const = default;
};

/// @brief A keyed record.
struct Record {
  std::uint64_t Offset = 0;
  std::string Key;
  std::optional<std::string> Value; ///< Absent if the key is deleted.
  std::uint64_t Era = 0;            ///< Era of the offset; see `Position`.
};

/// @brief The records from an offset on.
struct ReadResult {
  bool Trimmed = false;   ///< The requested offset has been removed; nothing
                          ///< was read.
  std::uint64_t Next = 0; ///< Offset of the next read.
  std::uint64_t End = 0;  ///< End of the partition at the time of the read.
  std::vector<Record> Records;
  std::uint64_t Era = 0; ///< Era of all offsets above.
};

/// @brief One page of the newest records of all keys.
struct NewestResult {
  std::uint64_t End = 0; ///< End of the partition at the time of the page.
  bool More = false;     ///< Further pages follow.
  std::vector<Record> Records;
  std::uint64_t Era = 0; ///< Era of all offsets above.
  /// The last key that the store knows as it is here, or an empty one. Bytes
  /// that are not UTF-8 are lost on the way.
  std::string LastExactKey;
  /// A key behind the last one, and maybe behind a few others, if bytes of the
  /// last one are lost; empty otherwise.
  std::string KeyBehindLast;
  std::size_t LeftOut = 0; ///< Entries that could not be read at all.
};

/// @brief The result of a conditional append.
struct AppendResult {
  bool Appended = false; ///< The condition held and the records were written.
  std::uint64_t End = 0; ///< End of the partition.
  /// Era in which the call took effect. If it is not that of the condition, the
  /// condition held by chance.
  std::uint64_t Era = 0;
};

/// @brief A call to the store that got no usable answer.
class StoreError : public std::runtime_error {
public:
  /// @param MayHaveRun Whether the call may have taken effect, or still may.
  /// @param Rejected Whether the store calls the request itself wrong.
  StoreError(const std::string &Message, bool MayHaveRun, bool Rejected = false)
      : std::runtime_error{Message}, CallMayHaveRun{MayHaveRun},
        RequestRejected{Rejected} {}

  [[nodiscard]] bool mayHaveRun() const noexcept { return CallMayHaveRun; }
  [[nodiscard]] bool rejected() const noexcept { return RequestRejected; }

private:
  bool CallMayHaveRun;
  bool RequestRejected;
};

/// @brief A log of keyed records. All calls throw `StoreError`.
///
/// `read` returns records from an offset on and waits if there are none,
/// `newest` returns the newest records of the keys after a given one, and
/// `append` writes records only if the partition ends at the given offset.
template <typename Type>
concept KeyedLog = requires(Type &Log, boost::asio::yield_context Yield,
                            const Partition &From, std::uint64_t Offset,
                            Millis Wait, const std::string &AfterKey,
                            const std::vector<Record> &Records) {
  { Log.read(Yield, From, Offset, Wait) } -> std::same_as<ReadResult>;
  { Log.newest(Yield, From, AfterKey) } -> std::same_as<NewestResult>;
  { Log.append(Yield, From, Offset, Records) } -> std::same_as<AppendResult>;
};

/// @brief A log that also appends records unconditionally. `put` returns the
/// position of the first one.
template <typename Type>
concept UnconditionalLog = KeyedLog<Type> &&
    requires(Type &Log, boost::asio::yield_context Yield, const Partition &To,
             const std::vector<Record> &Records) {
  { Log.put(Yield, To, Records) } -> std::same_as<Position>;
};

/// @brief The times of the store's last answer to this VM and of the last
/// failed call, and whether its answers state an era.
class StoreHealth {
public:
  /// @brief Whether a call has failed within a span before now.
  [[nodiscard]] bool failedWithin(Instant Now, Millis Span) const noexcept {
    return LastFailure != Instant{} && Now - LastFailure < Span;
  }
  [[nodiscard]] Instant lastAnswer() const noexcept { return LastAnswer; }
  /// @brief Whether the store has answered nothing for at least a span.
  [[nodiscard]] bool unansweredFor(Instant Now, Millis Span) const noexcept {
    return Now - LastAnswer >= Span;
  }

  /// @brief Whether an answer of the store has stated its era.
  [[nodiscard]] bool statesEra() const noexcept { return EraStated; }

  /// @brief Records that an answer stated the era.
  void observeEra() noexcept { EraStated = true; }
  /// @brief Records that the store answered a call.
  void observeAnswer(Instant Now) noexcept { LastAnswer = Now; }
  /// @brief Records that a call failed.
  void observeFailure(Instant Now) noexcept { LastFailure = Now; }

private:
  Instant LastAnswer{};
  Instant LastFailure{};
  bool EraStated = false;
};

} // namespace goldcrestnotch::store
