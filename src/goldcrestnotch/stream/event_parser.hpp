/// @file
/// Incremental parser and encoder for server-sent events.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestnotch {

/// @brief A server-sent event.
struct StreamEvent {
  std::uint64_t Id = 0; ///< Value of the `id` line; zero if there is none.
  std::string Data;     ///< Values of the `data` lines, joined by line feeds.

  auto operator<=>(const StreamEvent &) const = default;
};

/// @brief Parses a stream that arrives in pieces and bounds the memory that an
/// incomplete event takes.
class EventParser {
public:
  /// @param MaxEventBytes Largest number of bytes that are buffered for an
  /// incomplete event.
  explicit EventParser(std::size_t MaxEventBytes)
      : MaxEventBytes{MaxEventBytes} {}

  /// @brief Parses the next bytes of the stream.
  /// @return The events that these bytes complete; events without data are
  /// omitted.
  /// @throws std::length_error if an incomplete event exceeds the size limit.
  [[nodiscard]] std::vector<StreamEvent> feed(std::string_view Piece);
  /// @brief Number of bytes that are buffered for an incomplete event.
  [[nodiscard]] std::size_t bufferedBytes() const noexcept {
    return Buffer.size();
  }
  /// @brief Discards an incomplete event, for use when a new connection
  /// continues the stream.
  void discardPartial() noexcept { Buffer.clear(); }

private:
  std::size_t MaxEventBytes;
  std::string Buffer;
};

/// @brief Encodes an event as it is sent on the wire.
[[nodiscard]] std::string encode(const StreamEvent &Event);

} // namespace goldcrestnotch
