/// @file
/// Follows one answer over all connections it takes: passes each event on
/// once, in order, and knows where to resume and what was spent.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrestnotch/core/tokens.hpp"
#include "goldcrestnotch/stream/event_parser.hpp"

namespace goldcrestnotch {

/// @brief What an engine says was used.
struct Usage {
  Tokens Prompt;
  Tokens Completion;

  [[nodiscard]] Tokens total() const noexcept { return Prompt + Completion; }
};

/// @brief The state of one answer.
class Relay {
public:
  /// @param Skip Events that the caller has from an earlier try.
  explicit Relay(std::uint64_t Skip = 0);

  /// @brief The last event seen in order; a new connection resumes behind it.
  [[nodiscard]] std::uint64_t lastEventId() const noexcept { return Last; }
  /// @brief Whether the answer is whole.
  [[nodiscard]] bool done() const noexcept { return Done; }
  [[nodiscard]] const std::optional<Usage> &usage() const noexcept {
    return Used;
  }
  /// @brief The text so far, if it is kept.
  [[nodiscard]] const std::string &text() const noexcept { return Text; }
  [[nodiscard]] const std::string &finishReason() const noexcept {
    return Finish;
  }
  [[nodiscard]] std::size_t held() const noexcept { return Parser.held(); }

  /// @brief Keeps the text, for a caller that wants the answer in one piece.
  void collectText() noexcept { Keeps = true; }
  /// @brief A new connection begins at `last`.
  void discardPartial() noexcept { Parser.reset(); }
  /// @brief Takes bytes of the answer.
  /// @return The events to pass on.
  /// @throws std::runtime_error if an event is missing or can't be read.
  [[nodiscard]] std::vector<StreamEvent> feed(std::string_view Piece);

private:
  void read(const StreamEvent &One);

  EventParser Parser;
  std::uint64_t Skip;
  std::uint64_t Last = 0;
  bool Done = false;
  bool Keeps = false;
  std::string Text;
  std::string Finish;
  std::optional<Usage> Used;
};

} // namespace goldcrestnotch
