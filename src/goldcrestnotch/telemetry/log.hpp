/// @file
/// Structured logs: one JSON object a line, through log4cplus.

#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace goldcrestnotch {

enum class LogLevel : std::uint8_t { Debug, Info, Warn, Error };

/// @brief A named value of a log line.
struct LogField {
  std::string_view Name;
  std::variant<std::string, std::int64_t, double, bool> Value;
};

enum class LogSink : std::uint8_t { StandardError, StandardOutput };

/// @brief Opens the log; call once, before threads start.
/// @param Least The lowest level that is written.
/// @param Process Stands in each line, such as the VM's name.
void startLogging(LogLevel Least, const std::string &Process,
                  LogSink Sink = LogSink::StandardError);

/// @brief Writes a line.
/// @param Event A short fixed name such as `vm.ready`.
/// @warning Never hand it a key, a token of a caller, or a body.
/// @param More Fields that stand behind the others.
void log(LogLevel Level, std::string_view Event,
         std::initializer_list<LogField> Fields = {},
         std::initializer_list<LogField> More = {});

} // namespace goldcrestnotch
