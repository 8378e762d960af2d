/// @file
/// Parsing and encoding of server-sent events.

#include "goldcrestnotch/stream/event_parser.hpp"

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace goldcrestnotch {

namespace internal {

/// @brief The value of a line, without the one optional space in front of it.
/// @param NameSize Length of the field name with its colon.
[[nodiscard]] static std::string_view valueOf(std::string_view Line,
                                              std::size_t NameSize) {
  Line.remove_prefix(NameSize);
  if (Line.starts_with(' ')) {
    Line.remove_prefix(1);
  }
  return Line;
}

/// @brief Parses the lines of one event.
[[nodiscard]] static StreamEvent parseEvent(std::string_view Lines) {
  static constexpr std::string_view DataField = "data:";
  static constexpr std::string_view IdField = "id:";
  StreamEvent Result;
  while (!Lines.empty()) {
    const auto End = std::min(Lines.find('\n'), Lines.size());
    auto Line = Lines.substr(0, End);
    Lines.remove_prefix(std::min(End + 1, Lines.size()));
    if (Line.ends_with('\r')) {
      Line.remove_suffix(1);
    }
    if (Line.starts_with(DataField)) {
      Result.Data += (Result.Data.empty() ? "" : "\n");
      Result.Data += valueOf(Line, DataField.size());
    } else if (Line.starts_with(IdField)) {
      const auto Digits = valueOf(Line, IdField.size());
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Result.Id);
    }
  }
  return Result;
}

/// @brief Finds the blank line that ends the first event of a buffer.
/// @return The end of the event and the begin of the next one, or `npos` twice
/// if the event is incomplete.
[[nodiscard]] static std::pair<std::size_t, std::size_t>
findEventEnd(std::string_view Buffer) {
  const auto LineFeeds = Buffer.find("\n\n");
  const auto CarriageReturns = Buffer.find("\r\n\r\n");
  if (CarriageReturns < LineFeeds) {
    return {CarriageReturns, CarriageReturns + 4};
  }
  return {LineFeeds,
          LineFeeds == std::string_view::npos ? LineFeeds : LineFeeds + 2};
}

} // namespace internal

std::vector<StreamEvent> EventParser::feed(std::string_view Piece) {
  std::vector<StreamEvent> Result;
  Buffer += Piece;
  std::string_view Rest = Buffer;
  while (true) {
    const auto [End, NextBegin] = internal::findEventEnd(Rest);
    if (End == std::string_view::npos) {
      break;
    }
    auto Event = internal::parseEvent(Rest.substr(0, End));
    if (!Event.Data.empty()) {
      Result.push_back(std::move(Event));
    }
    Rest.remove_prefix(NextBegin);
  }
  Buffer.erase(0, Buffer.size() - Rest.size());
  if (Buffer.size() > MaxEventBytes) {
    throw std::length_error{"event in the target's response exceeds the size "
                            "limit"};
  }
  return Result;
}

std::string encode(const StreamEvent &Event) {
  std::string Text;
  if (Event.Id != 0) {
    Text += "id: " + std::to_string(Event.Id) + "\n";
  }
  return Text + "data: " + Event.Data + "\n\n";
}

} // namespace goldcrestnotch
