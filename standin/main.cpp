/// @file
/// Starts one stand-in: `standin platform|engine|service name=value ...`.
/// Prints `port N` once it listens.

#include <chrono>
#include <iostream>
#include <stdexcept>

#include <boost/asio/signal_set.hpp>

#include "standin.hpp"

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
  boost::asio::steady_timer Timer{
      boost::asio::get_associated_executor(Talk.yield())};
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

int main(int Count, char **Words) {
  using Runner = void (*)(boost::asio::io_context &, const standin::Options &);
  const std::map<std::string, Runner> Runners{
      {"platform", standin::runPlatform},
      {"engine", standin::runEngine},
      {"service", standin::runPlainService}};
  const auto Found = Count > 1 ? Runners.find(Words[1]) : Runners.end();
  if (Found == Runners.end()) {
    std::cerr << "usage: standin platform|engine|service [name=value ...]\n";
    return 2;
  }
  standin::Options Given;
  for (int I = 2; I < Count; ++I) {
    const std::string Word{Words[I]};
    const auto Equal = Word.find('=');
    if (Equal == std::string::npos) {
      std::cerr << "standin: expected name=value, not " << Word << '\n';
      return 2;
    }
    Given[Word.substr(0, Equal)] = Word.substr(Equal + 1);
  }
  boost::asio::io_context Context{1};
  boost::asio::signal_set Signals{Context, SIGTERM, SIGINT};
  Signals.async_wait([&](auto, auto) { Context.stop(); });
  Found->second(Context, Given);
  return 0;
}
