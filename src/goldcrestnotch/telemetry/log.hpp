/// @file
/// Structured logging through log4cplus: one JSON object per line.

#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace goldcrestnotch {

enum class LogLevel : std::uint8_t { Debug, Info, Warn, Error };

/// @brief A key and its value in a log line.
struct LogField {
  std::string_view Name;
  std::variant<std::string, std::int64_t, double, bool> Value;
};

enum class LogSink : std::uint8_t { StandardError, StandardOutput };

/// @brief Initializes logging. Call it once, before any thread is started.
/// @param MinLevel The lowest level that is written.
/// @param Process Name of the process, such as the name of the VM; every line
/// contains it.
/// @param Sink The standard stream that lines are written to.
void startLogging(LogLevel MinLevel, const std::string &Process,
                  LogSink Sink = LogSink::StandardError);

/// @brief Writes a line if the level is enabled.
/// @param Level Severity of the event.
/// @param Event A short constant name, such as `vm.started`.
/// @param Fields Fields of the line.
/// @param ExtraFields Fields that are written after `Fields`.
/// @warning Never log a key, a token of a caller, or a request or response
/// body.
void log(LogLevel Level, std::string_view Event,
         std::initializer_list<LogField> Fields = {},
         std::initializer_list<LogField> ExtraFields = {});

} // namespace goldcrestnotch
