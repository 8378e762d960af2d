/// @file
/// Splits a byte stream at the boundaries of server-sent events and leaves the
/// bytes of each event unchanged.

#pragma once

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

namespace goldcrestnotch {

/// @brief The complete events found in a piece of a stream.
struct EventBatch {
  std::string Bytes;        ///< Unchanged events, each with its blank line.
  std::uint64_t Count = 0;  ///< Number of events that carry an id.
  std::uint64_t LastId = 0; ///< Id of the last such event; zero if none.
  /// The connection sent an id that is not one more than its previous id, or
  /// that is not a number. Nothing behind it is passed on.
  bool Gap = false;
  bool Oversized = false; ///< The incomplete event exceeds the size limit.
};

/// @brief Forwards complete events and buffers an incomplete one.
///
/// An event without an id may be one whose id was spoiled, so it is held until
/// the next id shows that none is missing. A stream whose events have no
/// numbers at all is passed on as it is.
///
/// Invariant: all events up to `lastId` have been returned by `feed`, so the
/// stream can be resumed behind it.
class EventFramer {
public:
  /// Largest number of bytes that are buffered for an incomplete event.
  static constexpr std::size_t MaxEventBytes = 256U << 10U;

  /// @param StartAfter Id of the last event that the receiver already has.
  explicit EventFramer(std::uint64_t StartAfter = 0) : LastId{StartAfter} {}

  /// @brief Id of the last event that was returned.
  [[nodiscard]] std::uint64_t lastId() const noexcept { return LastId; }
  /// @brief Whether an incomplete event is buffered.
  [[nodiscard]] bool hasPartial() const noexcept { return !Buffer.empty(); }

  /// @brief Number of bytes that are buffered or held.
  [[nodiscard]] std::size_t bufferedBytes() const noexcept {
    return Buffer.size() + Held.size();
  }

  /// @brief Begins to read from another connection, which continues the stream.
  /// An incomplete event is discarded, since it is sent again.
  void beginConnection() {
    Buffer.clear();
    Searched = 0;
    Held.clear();
    ConnectionId = 0;
  }
  /// @brief Returns the events that are still held when the stream has ended.
  [[nodiscard]] std::string takeHeld() { return std::exchange(Held, {}); }
  /// @brief Whether all lines of the held events have the form of a field or a
  /// comment. Other lines are wrong bytes, which may hide the id of an event.
  [[nodiscard]] bool heldIsWellFormed() const {
    for (std::size_t Begin = 0; Begin < Held.size();) {
      const auto End = std::min(Held.find('\n', Begin), Held.size());
      if (!isField(std::string_view{Held}.substr(Begin, End - Begin))) {
        return false;
      }
      Begin = End + 1;
    }
    return true;
  }
  /// @brief Processes the next bytes of the stream.
  /// @return The events that these bytes complete, without those whose id is
  /// not greater than `lastId`. After a gap, the connection must not be read
  /// further.
  [[nodiscard]] EventBatch feed(std::string_view Piece) {
    EventBatch Result;
    Buffer += Piece;
    std::size_t Begin = 0;
    for (auto End = eventEnd(Begin); End != std::string::npos && !Result.Gap;
         End = eventEnd(Begin)) {
      append(std::string_view{Buffer}.substr(Begin, End - Begin), Result);
      Begin = End;
    }
    Buffer.erase(0, Begin);
    Searched = Buffer.size();
    Result.Oversized = bufferedBytes() > MaxEventBytes;
    return Result;
  }

private:
  /// @brief The id line of an event.
  struct EventId {
    std::uint64_t Number = 0; ///< Zero if there is none.
    bool Readable = true;     ///< The line, if there is one, holds a number.
  };

  /// @brief Offset behind the blank line that ends the event at `Begin`, or
  /// `npos` if the event is incomplete.
  [[nodiscard]] std::size_t eventEnd(std::size_t Begin) const {
    // Bytes that were searched before are not searched again, so an event that
    // arrives byte by byte takes no more time than one that arrives at once.
    constexpr std::string_view LongestEnd = "\r\n\r\n";
    const auto Overlap = std::min(Searched, LongestEnd.size() - 1);
    const auto From = std::max(Begin, Searched - Overlap);
    const auto LineFeeds = Buffer.find("\n\n", From);
    const auto CarriageReturns = Buffer.find(LongestEnd, From);
    if (LineFeeds == std::string::npos &&
        CarriageReturns == std::string::npos) {
      return std::string::npos;
    }
    return CarriageReturns < LineFeeds ? CarriageReturns + 4 : LineFeeds + 2;
  }

  /// @brief Parses the id of an event; the last id line counts.
  [[nodiscard]] static EventId idOf(std::string_view Event) {
    EventId Result;
    for (std::size_t Begin = 0; Begin < Event.size();) {
      const auto End = std::min(Event.find('\n', Begin), Event.size());
      auto Line = Event.substr(Begin, End - Begin);
      Begin = End + 1;
      if (Line.starts_with("id:")) {
        Line.remove_prefix(3);
        Line.remove_prefix(std::min(Line.find_first_not_of(' '), Line.size()));
        Line = Line.substr(0, Line.find_last_not_of(" \r") + 1);
        Result.Number = 0;
        const auto *const LineEnd = Line.data() + Line.size();
        const auto Parsed =
            std::from_chars(Line.data(), LineEnd, Result.Number);
        Result.Readable = Parsed.ec == std::errc{} && Parsed.ptr == LineEnd;
      }
    }
    return Result;
  }

  /// @brief Whether a line is empty or begins with a name and a colon; a
  /// comment has no name.
  [[nodiscard]] static bool isField(std::string_view Line) {
    constexpr std::string_view NameCharacters =
        "abcdefghijklmnopqrstuvwxyz0123456789-_";
    if (Line.empty() || Line == "\r") {
      return true;
    }
    const auto NameEnd = Line.find_first_not_of(NameCharacters);
    return NameEnd != std::string_view::npos && Line[NameEnd] == ':';
  }

  /// @brief Adds an event to a batch unless the receiver already has it.
  void append(std::string_view Event, EventBatch &Batch) {
    const auto Id = idOf(Event);
    const bool Spoiled = !Id.Readable && (Id.Number != 0 || numbered());
    if (Spoiled || (Id.Number != 0 && !follows(Id.Number))) {
      Batch.Gap = true;
      Held.clear();
    } else if (Id.Number != 0) {
      appendNumbered(Event, Id.Number, Batch);
    } else {
      appendUnnumbered(Event, Batch);
    }
  }

  void appendNumbered(std::string_view Event, std::uint64_t Id,
                      EventBatch &Batch) {
    ConnectionId = Id;
    const auto Before = takeHeld();
    if (Id <= LastId) {
      return;
    }
    LastId = Id;
    Batch.LastId = Id;
    ++Batch.Count;
    Batch.Bytes += Before;
    Batch.Bytes += Event;
  }

  void appendUnnumbered(std::string_view Event, EventBatch &Batch) {
    const bool Comment = Event.starts_with(':');
    // The first event does not tell yet whether the others have numbers; a
    // second one without a number does.
    const bool First = !Unnumbered && Held.empty();
    if (Comment ? !Held.empty() : numbered() || First) {
      Held += Event;
      return;
    }
    Unnumbered = Unnumbered || !Comment;
    Batch.Bytes += takeHeld();
    Batch.Bytes += Event;
  }

  /// @brief Whether the events of the stream have numbers.
  [[nodiscard]] bool numbered() const noexcept {
    return LastId != 0 || ConnectionId != 0;
  }
  /// @brief Whether an id may come next on the connection. Its first event may
  /// be one that the receiver already has.
  [[nodiscard]] bool follows(std::uint64_t Id) const noexcept {
    // Subtracts, since the sum could exceed 64 bits; no id is zero.
    return ConnectionId == 0 ? Id - 1 <= LastId : Id - 1 == ConnectionId;
  }

  std::string Buffer;
  std::size_t Searched = 0; ///< Bytes of `Buffer` without the end of an event.
  std::string Held; ///< Events without an id behind the last one with an id.
  std::uint64_t LastId;
  /// Id of the last event of the present connection; zero before the first.
  std::uint64_t ConnectionId = 0;
  bool Unnumbered = false; ///< An event without a number was passed on.
};

} // namespace goldcrestnotch
