/// @file
/// Splits a byte stream into server-sent events.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestnotch {

/// @brief A server-sent event.
struct StreamEvent {
  std::uint64_t Number = 0; ///< From its `id` line; zero if it has none.
  std::string Data;

  auto operator<=>(const StreamEvent &) const = default;
};

/// @brief Parses pieces as they come, in bounded memory.
class EventParser {
public:
  /// @param EventBytes The longest event that is taken.
  explicit EventParser(std::size_t EventBytes) : EventBytes{EventBytes} {}

  /// @brief Takes the next bytes.
  /// @return The events that they complete.
  /// @throws std::length_error if an event grows too long.
  [[nodiscard]] std::vector<StreamEvent> feed(std::string_view Piece);
  /// @brief Bytes held of an event not complete.
  [[nodiscard]] std::size_t held() const noexcept { return Buffer.size(); }
  /// @brief Forgets a half-read event, for a new connection.
  void reset() noexcept { Buffer.clear(); }

private:
  std::size_t EventBytes;
  std::string Buffer;
};

/// @brief The bytes of an event.
[[nodiscard]] std::string encode(const StreamEvent &Source);

} // namespace goldcrestnotch
