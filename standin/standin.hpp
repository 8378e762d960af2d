/// @file
/// What the stand-ins for outside systems share. Each keeps an account of what
/// really happened, served at `/admin/account`, for tests to judge by.

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

/// @brief Options of a stand-in from its command line, `name=value`.
using Options = std::map<std::string, std::string>;

/// @brief Switches of a stand-in that tests set at `/admin/switches`.
class Switches {
public:
  /// @brief Takes new values for switches that exist.
  /// @throws std::invalid_argument for an unknown switch.
  void merge(const json &Given);
  /// @brief Adds a switch with its first value.
  void emplace(const std::string &Name, std::int64_t Value) {
    Values[Name] = Value;
  }
  [[nodiscard]] std::int64_t at(const std::string &Name) const {
    return Values.at(Name);
  }
  /// @brief Takes one from a switch that counts; false at zero.
  [[nodiscard]] bool use(const std::string &Name);

private:
  std::map<std::string, std::int64_t> Values;
};

void sleep(goldcrestnotch::http::Exchange &Talk, Millis Span);
[[nodiscard]] goldcrestnotch::http::Response answer(const json &Body,
                                                    int Status = 200);
/// @brief Milliseconds since the epoch.
[[nodiscard]] std::int64_t wallMillis();
/// @brief A number from the options, or a default.
[[nodiscard]] std::int64_t number(const Options &Given, const std::string &Name,
                                  std::int64_t Default);

/// @brief The platform: log service, live list, weight store.
void runPlatform(boost::asio::io_context &Context, const Options &Given);
/// @brief A model engine.
void runEngine(boost::asio::io_context &Context, const Options &Given);
/// @brief A plain service that counts how often each call ran.
void runPlainService(boost::asio::io_context &Context, const Options &Given);

} // namespace standin
