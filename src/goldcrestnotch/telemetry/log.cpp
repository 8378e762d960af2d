/// @file
/// Implementation of the structured log: a log4cplus layout that writes one
/// JSON object per line.

#include "goldcrestnotch/telemetry/log.hpp"

#include <memory>

#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "goldcrestnotch/telemetry/stream_appender.hpp"

namespace goldcrestnotch {

namespace internal {

/// @brief Writes the timestamp, level and process name before the fields of the
/// event.
/// @details The event's message is the inside of a JSON object, without its
/// braces.
class JsonLayout final : public log4cplus::Layout {
public:
  /// @param Dropped Number of lines that were dropped since the last one.
  JsonLayout(std::string Process, std::shared_ptr<std::int64_t> Dropped)
      : Process{std::move(Process)}, Dropped{std::move(Dropped)} {}

  void
  formatAndAppend(log4cplus::tostream &Output,
                  const log4cplus::spi::InternalLoggingEvent &Event) override {
    const auto SinceEpoch = Event.getTimestamp().time_since_epoch();
    const auto Micros =
        std::chrono::duration_cast<std::chrono::microseconds>(SinceEpoch)
            .count();
    const auto &Level =
        log4cplus::getLogLevelManager().toString(Event.getLogLevel());
    Output << R"({"time_us":)" << Micros << R"(,"level":")" << Level
           << R"(","vm":)" << nlohmann::json(Process).dump() << ','
           << Event.getMessage();
    if (const auto Count = std::exchange(*Dropped, 0); Count > 0) {
      Output << R"(,"dropped":)" << Count;
    }
    Output << "}\n";
  }

private:
  std::string Process;
  std::shared_ptr<std::int64_t> Dropped;
};

/// Longest text in a log line; others may choose it, such as a name in a
/// record.
static constexpr std::size_t MaxTextBytes = 512;

template <typename Type>
[[nodiscard]] static const Type &shortened(const Type &Value) {
  return Value;
}
[[nodiscard]] static std::string shortened(const std::string &Value) {
  return Value.size() <= MaxTextBytes ? Value
                                      : Value.substr(0, MaxTextBytes) + "...";
}

[[nodiscard]] static log4cplus::LogLevel toLog4cplusLevel(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case LogLevel::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case LogLevel::Warn:
    return log4cplus::WARN_LOG_LEVEL;
  case LogLevel::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

} // namespace internal

void startLogging(LogLevel MinLevel, const std::string &Process, LogSink Sink) {
  static const log4cplus::Initializer LibraryInitializer;
  auto Root = log4cplus::Logger::getRoot();
  const auto Dropped = std::make_shared<std::int64_t>(0);
  log4cplus::SharedAppenderPtr Stream{new StreamAppender{
      Sink == LogSink::StandardError ? STDERR_FILENO : STDOUT_FILENO, Dropped}};
  Stream->setLayout(std::make_unique<internal::JsonLayout>(Process, Dropped));
  Root.removeAllAppenders();
  Root.addAppender(Stream);
  Root.setLogLevel(internal::toLog4cplusLevel(MinLevel));
}

void log(LogLevel Level, std::string_view Event,
         std::initializer_list<LogField> Fields,
         std::initializer_list<LogField> ExtraFields) {
  auto Root = log4cplus::Logger::getRoot();
  const auto NativeLevel = internal::toLog4cplusLevel(Level);
  if (!Root.isEnabledFor(NativeLevel)) {
    return;
  }
  nlohmann::ordered_json Line{{"event", std::string{Event}}};
  for (const auto &FieldList : {Fields, ExtraFields}) {
    for (const auto &Field : FieldList) {
      std::visit(
          [&](const auto &Value) {
            Line[std::string{Field.Name}] = internal::shortened(Value);
          },
          Field.Value);
    }
  }
  // The layout adds the braces, so they are cut off here. Invalid UTF-8 is
  // replaced: it must not make logging throw.
  const auto Text =
      Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  Root.forcedLog(NativeLevel, Text.substr(1, Text.size() - 2));
}

} // namespace goldcrestnotch
