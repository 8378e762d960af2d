/// @file
/// Splits a byte stream at the boundaries of server-sent events and leaves the
/// bytes of each event unchanged.

#pragma once

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrestnotch {

/// @brief The complete events found in a piece of a stream.
struct EventBatch {
  std::string Bytes;        ///< Unchanged events, each with its blank line.
  std::uint64_t Count = 0;  ///< Number of events that carry an id.
  std::uint64_t LastId = 0; ///< Id of the last such event; zero if none.
  bool Gap = false;         ///< An id was not one more than the previous id.
  bool Oversized = false;   ///< The incomplete event exceeds the size limit.
};

/// @brief Forwards complete events and buffers an incomplete one.
class EventFramer {
public:
  /// Largest number of bytes that are buffered for an incomplete event.
  static constexpr std::size_t MaxEventBytes = 256U << 10U;

  /// @param StartAfter Id of the last event that the receiver already has.
  explicit EventFramer(std::uint64_t StartAfter = 0) : LastId{StartAfter} {}

  /// @brief The highest event id seen so far.
  [[nodiscard]] std::uint64_t lastId() const noexcept { return LastId; }
  /// @brief Whether an incomplete event is buffered.
  [[nodiscard]] bool hasPartial() const noexcept { return !Buffer.empty(); }

  /// @brief Discards an incomplete event, since another connection continues
  /// the stream and sends that event again.
  void discardPartial() { Buffer.clear(); }
  /// @brief Processes the next bytes of the stream.
  /// @return The events that these bytes complete, without those whose id is
  /// not greater than `lastId`.
  [[nodiscard]] EventBatch feed(std::string_view Piece) {
    EventBatch Result;
    Buffer += Piece;
    std::size_t Begin = 0;
    for (auto End = eventEnd(Begin); End != std::string::npos;
         End = eventEnd(Begin)) {
      append(std::string_view{Buffer}.substr(Begin, End - Begin), Result);
      Begin = End;
    }
    Buffer.erase(0, Begin);
    Result.Oversized = Buffer.size() > MaxEventBytes;
    return Result;
  }

private:
  /// @brief Offset behind the blank line that ends the event at `Begin`, or
  /// `npos` if the event is incomplete.
  [[nodiscard]] std::size_t eventEnd(std::size_t Begin) const {
    const auto LineFeeds = Buffer.find("\n\n", Begin);
    const auto CarriageReturns = Buffer.find("\r\n\r\n", Begin);
    if (LineFeeds == std::string::npos &&
        CarriageReturns == std::string::npos) {
      return std::string::npos;
    }
    return CarriageReturns < LineFeeds ? CarriageReturns + 4 : LineFeeds + 2;
  }

  /// @brief Parses the id of an event.
  /// @return Zero if the event has no id.
  [[nodiscard]] static std::uint64_t idOf(std::string_view Event) {
    std::uint64_t Id = 0;
    for (std::size_t Begin = 0; Begin < Event.size();) {
      const auto End = std::min(Event.find('\n', Begin), Event.size());
      auto Line = Event.substr(Begin, End - Begin);
      Begin = End + 1;
      if (Line.starts_with("id:")) {
        Line.remove_prefix(3);
        Line.remove_prefix(std::min(Line.find_first_not_of(' '), Line.size()));
        std::from_chars(Line.data(), Line.data() + Line.size(), Id);
      }
    }
    return Id;
  }

  /// @brief Adds an event to a batch unless the receiver already has it.
  void append(std::string_view Event, EventBatch &Batch) {
    const auto Id = idOf(Event);
    if (Id != 0 && Id <= LastId) {
      return;
    }
    if (Id != 0) {
      Batch.Gap = Batch.Gap || Id != LastId + 1;
      LastId = Id;
      Batch.LastId = Id;
      ++Batch.Count;
    }
    Batch.Bytes += Event;
  }

  std::string Buffer;
  std::uint64_t LastId;
};

} // namespace goldcrestnotch
