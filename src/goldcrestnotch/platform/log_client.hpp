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

/// @brief A record of the log.
struct LogRecord {
  std::uint64_t Offset = 0;
  LogTime When{};   ///< Time of the append, by the clock of the log service.
  std::string Body; ///< Empty if the record can't be read.
};

/// @brief Consecutive records of a stream, in order of their offsets.
struct LogPage {
  std::vector<LogRecord> Records;
  std::uint64_t End = 0; ///< Offset of the next record appended.
};

/// @brief Thrown when the log has trimmed the requested records.
struct TrimmedError {
  std::uint64_t FirstOffset = 0; ///< The first offset that is retained.
};

/// @brief Client of the log service, usable from any coroutine.
/// @details Every member takes the deadline of its HTTP call.
class LogClient {
public:
  explicit LogClient(http::Endpoint Service) : Service{std::move(Service)} {}

  /// @brief Appends one record.
  /// @return The offset of the record.
  /// @throws Error if the call fails. The append may have taken effect
  /// nevertheless.
  [[nodiscard]] std::uint64_t append(boost::asio::yield_context Yield,
                                     const std::string &Stream,
                                     const std::string &Body, Instant Deadline);

  /// @brief Reads records, starting at an offset.
  /// @param FirstOffset Offset of the first record.
  /// @param MaxWait Maximum time the log service waits for a record if there is
  /// none yet.
  /// @throws TrimmedError if the first record has been trimmed.
  /// @throws Error if the call fails.
  [[nodiscard]] LogPage read(boost::asio::yield_context Yield,
                             const std::string &Stream,
                             std::uint64_t FirstOffset, Millis MaxWait,
                             Instant Deadline);

  /// @brief Reads the latest record of a stream.
  /// @return The record, or nothing if the stream is empty.
  /// @throws Error if the call fails.
  [[nodiscard]] std::optional<LogRecord> last(boost::asio::yield_context Yield,
                                              const std::string &Stream,
                                              Instant Deadline);

private:
  http::Endpoint Service;
};

} // namespace goldcrestnotch
