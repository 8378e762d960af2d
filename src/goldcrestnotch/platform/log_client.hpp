/// @file
/// Client of the platform's append-only log service.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/http/message.hpp"

namespace goldcrestnotch {

/// @brief A record as the log keeps it.
struct LogRecord {
  std::uint64_t Offset = 0;
  LogTime When{};
  std::string Body;
};

/// @brief Consecutive records of a stream.
struct LogPage {
  std::vector<LogRecord> Records;
  std::uint64_t End = 0; ///< The stream's next offset.
};

/// @brief Thrown when the records asked for are no longer kept.
struct Trimmed {
  std::uint64_t First = 0; ///< The first offset still kept.
};

/// @brief Calls the log service; usable from any coroutine.
class LogClient {
public:
  explicit LogClient(http::Endpoint Where) : Where{std::move(Where)} {}

  /// @brief Appends one record.
  /// @return Its offset.
  /// @throws Error; the append may have taken effect all the same.
  [[nodiscard]] std::uint64_t append(boost::asio::yield_context Yield,
                                     const std::string &Stream,
                                     const std::string &Body, Instant Until);

  /// @brief Reads records from an offset on, waiting for the first.
  /// @throws Trimmed, Error.
  [[nodiscard]] LogPage read(boost::asio::yield_context Yield,
                             const std::string &Stream, std::uint64_t From,
                             Millis Wait, Instant Until);

  /// @brief Reads the newest record of a stream.
  /// @throws Error.
  [[nodiscard]] std::optional<LogRecord> last(boost::asio::yield_context Yield,
                                              const std::string &Stream,
                                              Instant Until);

private:
  http::Endpoint Where;
};

} // namespace goldcrestnotch
