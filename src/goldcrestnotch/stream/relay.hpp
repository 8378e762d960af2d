/// @file
/// Tracks one streamed chat response over all connections that deliver it:
/// passes each event on once and in order, and records the position at which
/// to resume and the token usage.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrestnotch/core/tokens.hpp"
#include "goldcrestnotch/stream/event_parser.hpp"

namespace goldcrestnotch {

/// @brief Token usage that a model engine reports.
struct Usage {
  Tokens Prompt;
  Tokens Completion;

  [[nodiscard]] Tokens total() const noexcept { return Prompt + Completion; }
};

/// @brief The state of one streamed response.
class Relay {
public:
  /// @param SkippedEvents Number of events that the caller received from an
  /// earlier request; they are read, but not passed on.
  explicit Relay(std::uint64_t SkippedEvents = 0);

  /// @brief Id of the last event received in order; a new connection resumes
  /// after it.
  [[nodiscard]] std::uint64_t lastEventId() const noexcept {
    return LastEventId;
  }
  /// @brief Whether the end marker of the response has been received.
  [[nodiscard]] bool done() const noexcept { return Done; }
  /// @brief The latest usage report, if there was one.
  [[nodiscard]] const std::optional<Usage> &usage() const noexcept {
    return LatestUsage;
  }
  /// @brief The text received so far; empty unless `collectText` was called.
  [[nodiscard]] const std::string &text() const noexcept { return Text; }
  /// @brief The finish reason that the engine reported; empty until then.
  [[nodiscard]] const std::string &finishReason() const noexcept {
    return FinishReason;
  }
  /// @brief Number of bytes that are buffered for an incomplete event.
  [[nodiscard]] std::size_t bufferedBytes() const noexcept {
    return Parser.bufferedBytes();
  }

  /// @brief Collects the text, for a caller that wants the response in one
  /// piece.
  void collectText() noexcept { CollectsText = true; }
  /// @brief Discards an incomplete event, before a new connection resumes
  /// after `lastEventId`.
  void discardPartial() noexcept {
    Parser.discardPartial();
    Problem.clear();
  }
  /// @brief Processes the next bytes of the response.
  /// @return The events to pass on.
  /// @throws std::runtime_error if an event is missing, is no JSON object or
  /// reports an error. If events precede it in the piece, these are returned
  /// and the next call throws, since a new connection resumes behind them.
  /// @throws std::length_error if an incomplete event exceeds the size limit.
  [[nodiscard]] std::vector<StreamEvent> feed(std::string_view Piece);

private:
  /// @brief Takes the next event of the response.
  /// @return Whether it is passed on.
  /// @throws std::exception as `feed`.
  [[nodiscard]] bool accept(StreamEvent &Event);
  /// @brief Reads usage, text and finish reason from the JSON of an event.
  void readChunk(const StreamEvent &Event);

  EventParser Parser;
  std::uint64_t SkippedEvents;
  std::uint64_t LastEventId = 0;
  bool Done = false;
  bool CollectsText = false;
  std::string Text;
  std::string FinishReason;
  std::string Problem; ///< Why the connection can't be read further, if so.
  std::optional<Usage> LatestUsage;
};

} // namespace goldcrestnotch
