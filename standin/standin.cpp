/// @file
/// Implements the helpers shared by the stand-ins.

#include "standin.hpp"
#include "goldcrestnotch/kernel/await.hpp"

#include <chrono>
#include <stdexcept>

namespace standin {

using goldcrestnotch::http::Exchange;
using goldcrestnotch::http::Response;

void Switches::merge(const json &NewValues) {
  for (const auto &[Name, Value] : NewValues.items()) {
    const auto Found = Values.find(Name);
    if (Found == Values.end()) {
      throw std::invalid_argument{"unknown switch " + Name};
    }
    Found->second = Value.is_boolean() ? (Value.get<bool>() ? 1 : 0)
                                       : Value.get<std::int64_t>();
  }
}

bool Switches::use(const std::string &Name) {
  auto &Value = Values.at(Name);
  if (Value <= 0) {
    return false;
  }
  --Value;
  return true;
}

void sleep(Exchange &HttpExchange, Millis Duration) {
  boost::asio::steady_timer Timer{
      goldcrestnotch::executorOf(HttpExchange.yield())};
  Timer.expires_after(Duration);
  Timer.async_wait(HttpExchange.yield());
}

Response answer(const json &Body, int Status) {
  Response Result;
  Result.Status = Status;
  Result.Fields["Content-Type"] = "application/json";
  Result.Body = Body.dump();
  return Result;
}

std::int64_t wallMillis() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::int64_t number(const Options &Arguments, const std::string &Name,
                    std::int64_t Default) {
  const auto Found = Arguments.find(Name);
  return Found == Arguments.end() ? Default : std::stoll(Found->second);
}

} // namespace standin
