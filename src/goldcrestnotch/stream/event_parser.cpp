/// @file
/// Parsing of server-sent events.

#include "goldcrestnotch/stream/event_parser.hpp"

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace goldcrestnotch {

namespace internal {

[[nodiscard]] static std::string_view valueOf(std::string_view Line,
                                              std::size_t NameSize) {
  Line.remove_prefix(NameSize);
  if (Line.starts_with(' ')) {
    Line.remove_prefix(1);
  }
  return Line;
}

[[nodiscard]] static StreamEvent eventOf(std::string_view Block) {
  static constexpr std::string_view Data = "data:";
  static constexpr std::string_view Number = "id:";
  StreamEvent Result;
  while (!Block.empty()) {
    const auto End = std::min(Block.find('\n'), Block.size());
    auto Line = Block.substr(0, End);
    Block.remove_prefix(std::min(End + 1, Block.size()));
    if (Line.ends_with('\r')) {
      Line.remove_suffix(1);
    }
    if (Line.starts_with(Data)) {
      Result.Data += (Result.Data.empty() ? "" : "\n");
      Result.Data += valueOf(Line, Data.size());
    } else if (Line.starts_with(Number)) {
      const auto Digits = valueOf(Line, Number.size());
      std::from_chars(Digits.data(), Digits.data() + Digits.size(),
                      Result.Number);
    }
  }
  return Result;
}

/// @brief Where the first block of a buffer ends, and the next begins.
[[nodiscard]] static std::pair<std::size_t, std::size_t>
blockEnd(std::string_view Buffer) {
  const auto Plain = Buffer.find("\n\n");
  const auto Carriage = Buffer.find("\r\n\r\n");
  if (Carriage < Plain) {
    return {Carriage, Carriage + 4};
  }
  return {Plain, Plain == std::string_view::npos ? Plain : Plain + 2};
}

} // namespace internal

std::vector<StreamEvent> EventParser::feed(std::string_view Piece) {
  std::vector<StreamEvent> Result;
  Buffer += Piece;
  std::string_view Rest = Buffer;
  while (true) {
    const auto [End, Next] = internal::blockEnd(Rest);
    if (End == std::string_view::npos) {
      break;
    }
    auto One = internal::eventOf(Rest.substr(0, End));
    if (!One.Data.empty()) {
      Result.push_back(std::move(One));
    }
    Rest.remove_prefix(Next);
  }
  Buffer.erase(0, Buffer.size() - Rest.size());
  if (Buffer.size() > EventBytes) {
    throw std::length_error{"an event of a target's answer is too long"};
  }
  return Result;
}

std::string encode(const StreamEvent &Source) {
  std::string Text;
  if (Source.Number != 0) {
    Text += "id: " + std::to_string(Source.Number) + "\n";
  }
  return Text + "data: " + Source.Data + "\n\n";
}

} // namespace goldcrestnotch
