/// @file
/// Writes log lines to a standard stream without ever waiting for its reader.

#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <log4cplus/appender.h>

namespace goldcrestnotch {

/// @brief Writes each line at once, or drops it if its reader is too slow or
/// has gone. A daemon must serve callers whether or not its log is read.
class StreamAppender final : public log4cplus::Appender {
public:
  /// Longest line that a pipe takes as a whole once it accepts any bytes.
  static constexpr std::size_t MaxLineBytes = 4'096;

  /// @param Descriptor The stream, which stays open.
  /// @param Dropped Receives the number of lines dropped; the layout resets it
  /// when it has reported them.
  StreamAppender(int Descriptor, std::shared_ptr<std::int64_t> Dropped)
      : Descriptor{Descriptor}, Dropped{std::move(Dropped)} {}
  ~StreamAppender() override { destructorImpl(); }

  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override;

private:
  /// @brief Whether the stream takes a line without blocking.
  [[nodiscard]] bool writable() const noexcept;

  int Descriptor;
  std::shared_ptr<std::int64_t> Dropped;
};

} // namespace goldcrestnotch
