/// @file
/// Helpers shared by the stand-ins for external systems. Each stand-in counts
/// what it did and serves the counts at `/admin/account`, so that tests can
/// compare them with what callers observed.

#pragma once

#include <map>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/http/server.hpp"

namespace standin {

using goldcrestnotch::DecisionClock;
using goldcrestnotch::Instant;
using goldcrestnotch::Millis;
using nlohmann::json;

/// @brief Options of a stand-in: the `name=value` pairs of its command line.
using Options = std::map<std::string, std::string>;

/// @brief Named integer settings that tests change at `/admin/switches`.
class Switches {
public:
  /// @brief Sets existing switches to new values; a boolean becomes 0 or 1.
  /// @throws std::invalid_argument for an unknown switch.
  void merge(const json &NewValues);
  /// @brief Adds a switch with its initial value.
  void emplace(const std::string &Name, std::int64_t Value) {
    Values[Name] = Value;
  }
  [[nodiscard]] std::int64_t at(const std::string &Name) const {
    return Values.at(Name);
  }
  /// @brief Decrements a switch that counts down.
  /// @return False, without a change, if the switch is zero or below.
  [[nodiscard]] bool use(const std::string &Name);

private:
  std::map<std::string, std::int64_t> Values;
};

/// @brief Suspends the coroutine of an exchange for a duration.
void sleep(goldcrestnotch::http::Exchange &HttpExchange, Millis Duration);
/// @brief Builds a JSON response.
[[nodiscard]] goldcrestnotch::http::Response answer(const json &Body,
                                                    int Status = 200);
/// @brief Wall-clock time in milliseconds since the Unix epoch.
[[nodiscard]] std::int64_t wallMillis();
/// @brief Parses a numeric option; returns the default if it is absent.
[[nodiscard]] std::int64_t
number(const Options &Arguments, const std::string &Name, std::int64_t Default);

/// @brief Runs the platform stand-in: log service, live list and weight store.
void runPlatform(boost::asio::io_context &Context, const Options &Arguments);
/// @brief Runs the model engine stand-in.
void runEngine(boost::asio::io_context &Context, const Options &Arguments);
/// @brief Runs a plain service that counts how often each call was executed.
void runPlainService(boost::asio::io_context &Context,
                     const Options &Arguments);

} // namespace standin
