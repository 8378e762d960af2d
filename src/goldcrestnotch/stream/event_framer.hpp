/// @file
/// Cuts a byte stream into whole server-sent events without changing a byte.

#pragma once

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrestnotch {

/// @brief Whole events taken from a stream.
struct EventRun {
  std::string Bytes;        ///< As they came, each with its blank line.
  std::uint64_t Count = 0;  ///< Events that carry an id.
  std::uint64_t LastId = 0; ///< Of the last of these; zero if none.
  bool Gap = false;         ///< An id did not follow the one before.
  bool Endless = false;     ///< An event goes on beyond the longest.
};

/// @brief Holds back the part of an event that is not complete.
class EventFramer {
public:
  /// What is longer is no event.
  static constexpr std::size_t MostEventBytes = 256U << 10U;

  /// @param After The id behind which the stream begins.
  explicit EventFramer(std::uint64_t After = 0) : Last{After} {}

  [[nodiscard]] std::uint64_t last() const noexcept { return Last; }
  /// @brief Whether part of an event is held back.
  [[nodiscard]] bool partial() const noexcept { return !Held.empty(); }

  /// @brief Drops a partial event: another connection goes on.
  void reset() { Held.clear(); }
  /// @brief Takes the next bytes. Events up to `last` are dropped.
  [[nodiscard]] EventRun feed(std::string_view Piece) {
    EventRun Result;
    Held += Piece;
    std::size_t Begin = 0;
    for (auto End = blockEnd(Begin); End != std::string::npos;
         End = blockEnd(Begin)) {
      take(std::string_view{Held}.substr(Begin, End - Begin), Result);
      Begin = End;
    }
    Held.erase(0, Begin);
    Result.Endless = Held.size() > MostEventBytes;
    return Result;
  }

private:
  [[nodiscard]] std::size_t blockEnd(std::size_t From) const {
    const auto Plain = Held.find("\n\n", From);
    const auto Carriage = Held.find("\r\n\r\n", From);
    if (Plain == std::string::npos && Carriage == std::string::npos) {
      return std::string::npos;
    }
    return Carriage < Plain ? Carriage + 4 : Plain + 2;
  }

  /// @brief The id of an event, or zero.
  [[nodiscard]] static std::uint64_t idOf(std::string_view Block) {
    std::uint64_t Id = 0;
    for (std::size_t At = 0; At < Block.size();) {
      const auto End = std::min(Block.find('\n', At), Block.size());
      auto Line = Block.substr(At, End - At);
      At = End + 1;
      if (Line.starts_with("id:")) {
        Line.remove_prefix(3);
        Line.remove_prefix(std::min(Line.find_first_not_of(' '), Line.size()));
        std::from_chars(Line.data(), Line.data() + Line.size(), Id);
      }
    }
    return Id;
  }

  void take(std::string_view Block, EventRun &Into) {
    const auto Id = idOf(Block);
    if (Id != 0 && Id <= Last) {
      return;
    }
    if (Id != 0) {
      Into.Gap = Into.Gap || Id != Last + 1;
      Last = Id;
      Into.LastId = Id;
      ++Into.Count;
    }
    Into.Bytes += Block;
  }

  std::string Held;
  std::uint64_t Last;
};

} // namespace goldcrestnotch
