/// @file
/// A log4cplus layout that writes JSON lines.

#include "goldcrestnotch/telemetry/log.hpp"

#include <memory>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

namespace goldcrestnotch {

namespace internal {

/// @brief Puts time, level and process before the fields of the event.
class JsonLayout final : public log4cplus::Layout {
public:
  explicit JsonLayout(std::string Process) : Process{std::move(Process)} {}

  void
  formatAndAppend(log4cplus::tostream &Out,
                  const log4cplus::spi::InternalLoggingEvent &Event) override {
    const auto Since = Event.getTimestamp().time_since_epoch();
    const auto Micros =
        std::chrono::duration_cast<std::chrono::microseconds>(Since).count();
    const auto &Level =
        log4cplus::getLogLevelManager().toString(Event.getLogLevel());
    Out << R"({"time_us":)" << Micros << R"(,"level":")" << Level
        << R"(","vm":)" << nlohmann::json(Process).dump() << ','
        << Event.getMessage() << "}\n";
  }

private:
  std::string Process;
};

[[nodiscard]] static log4cplus::LogLevel levelOf(LogLevel Level) {
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

void startLogging(LogLevel Least, const std::string &Process, LogSink Sink) {
  static const log4cplus::Initializer Library;
  auto Root = log4cplus::Logger::getRoot();
  log4cplus::SharedAppenderPtr Console{
      new log4cplus::ConsoleAppender{Sink == LogSink::StandardError, true}};
  Console->setLayout(std::make_unique<internal::JsonLayout>(Process));
  Root.removeAllAppenders();
  Root.addAppender(Console);
  Root.setLogLevel(internal::levelOf(Least));
}

void log(LogLevel Level, std::string_view Event,
         std::initializer_list<LogField> Fields,
         std::initializer_list<LogField> More) {
  auto Root = log4cplus::Logger::getRoot();
  const auto Mapped = internal::levelOf(Level);
  if (!Root.isEnabledFor(Mapped)) {
    return;
  }
  nlohmann::ordered_json Line{{"event", std::string{Event}}};
  for (const auto &Part : {Fields, More}) {
    for (const auto &Field : Part) {
      std::visit([&](const auto &V) { Line[std::string{Field.Name}] = V; },
                 Field.Value);
    }
  }
  const auto Text =
      Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  Root.forcedLog(Mapped, Text.substr(1, Text.size() - 2));
}

} // namespace goldcrestnotch
