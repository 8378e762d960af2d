/// @file
/// Helpers of the stand-ins.

#include "standin.hpp"
#include "goldcrestnotch/kernel/await.hpp"

#include <chrono>
#include <stdexcept>

namespace standin {

using goldcrestnotch::http::Exchange;
using goldcrestnotch::http::Response;

void Switches::merge(const json &Given) {
  for (const auto &[Name, Value] : Given.items()) {
    const auto It = Values.find(Name);
    if (It == Values.end()) {
      throw std::invalid_argument{"unknown switch " + Name};
    }
    It->second = Value.is_boolean() ? (Value.get<bool>() ? 1 : 0)
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

void sleep(Exchange &Talk, Millis Span) {
  boost::asio::steady_timer Timer{goldcrestnotch::executorOf(Talk.yield())};
  Timer.expires_after(Span);
  Timer.async_wait(Talk.yield());
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

std::int64_t number(const Options &Given, const std::string &Name,
                    std::int64_t Default) {
  const auto It = Given.find(Name);
  return It == Given.end() ? Default : std::stoll(It->second);
}

} // namespace standin
