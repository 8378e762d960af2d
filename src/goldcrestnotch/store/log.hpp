/// @file
/// The log that VMs share, as the product sees it: keyed records in
/// partitions, appended under a condition. Adapters implement `KeyedLog`.

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

/// @brief One partition of a topic whose newest record of each key is kept.
struct Partition {
  std::string Topic;
  std::uint32_t Number = 0;
};

/// @brief A record of a key.
struct Record {
  std::uint64_t Offset = 0;
  std::string Key;
  std::optional<std::string> Value; ///< Absent if the key is dropped.
};

/// @brief Records from an offset on.
struct ReadResult {
  bool Trimmed = false;   ///< The offset asked for is gone; nothing was read.
  std::uint64_t Next = 0; ///< Where to read on.
  std::uint64_t End = 0;  ///< End of the partition as it was read.
  std::vector<Record> Records;
};

/// @brief The newest records of keys; one page of them.
struct NewestResult {
  std::uint64_t End = 0; ///< End of the partition as the page was made.
  bool More = false;
  std::vector<Record> Records;
};

/// @brief What became of an append under a condition.
struct AppendResult {
  bool Appended = false;
  std::uint64_t End = 0; ///< End of the partition.
};

/// @brief A call that got no usable answer.
class StoreError : public std::runtime_error {
public:
  /// @param MayHaveRun Whether the call may yet take effect.
  StoreError(const std::string &Message, bool MayHaveRun)
      : std::runtime_error{Message}, Sent{MayHaveRun} {}

  [[nodiscard]] bool mayHaveRun() const noexcept { return Sent; }

private:
  bool Sent;
};

/// @brief What an adapter offers. All calls throw `StoreError`.
template <typename Type>
concept KeyedLog = requires(Type &Log, boost::asio::yield_context Yield,
                            const Partition &At, std::uint64_t Offset,
                            Millis Wait, const std::string &After,
                            const std::vector<Record> &Records) {
  { Log.read(Yield, At, Offset, Wait) } -> std::same_as<ReadResult>;
  { Log.newest(Yield, At, After) } -> std::same_as<NewestResult>;
  { Log.append(Yield, At, Offset, Records) } -> std::same_as<AppendResult>;
};

/// @brief A log that also takes records without a condition; says the offset of
/// the first.
template <typename Type>
concept UnconditionalLog = KeyedLog<Type> &&
    requires(Type &Log, boost::asio::yield_context Yield, const Partition &At,
             const std::vector<Record> &Records) {
  { Log.put(Yield, At, Records) } -> std::same_as<std::uint64_t>;
};

/// @brief When the store last answered and last failed this VM.
class StoreHealth {
public:
  /// @brief Whether the store has failed within a span before now.
  [[nodiscard]] bool failedWithin(Instant Now, Millis Span) const noexcept {
    return LastFailure != Instant{} && Now - LastFailure < Span;
  }
  [[nodiscard]] Instant lastAnswer() const noexcept { return LastAnswer; }
  /// @brief Whether nothing was answered for a span.
  [[nodiscard]] bool unansweredFor(Instant Now, Millis Span) const noexcept {
    return Now - LastAnswer >= Span;
  }

  void observeAnswer(Instant Now) noexcept { LastAnswer = Now; }
  void observeFailure(Instant Now) noexcept { LastFailure = Now; }

private:
  Instant LastAnswer{};
  Instant LastFailure{};
};

} // namespace goldcrestnotch::store
