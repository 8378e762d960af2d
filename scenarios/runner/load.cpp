/// @file
/// Load generator; each request runs in a coroutine of its own.

#include "load.hpp"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/core/hash.hpp"
#include "goldcrestnotch/http/client.hpp"

namespace scenario {

using namespace goldcrestnotch;
using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr Millis CallTimeout{30'000};
/// Bytes kept of the end of a response: enough to find `[DONE]`, which marks it
/// as complete.
constexpr std::size_t TailBytes = 32;

/// Latencies and failures measured over all requests.
struct Measurements {
  std::mutex Mutex;                ///< Guards the members below.
  std::vector<double> FirstByteMs; ///< Time to the first byte.
  std::vector<double> TotalMs;     ///< Time to the end of the response.
  std::uint64_t Failed = 0;
};

double millisSince(SteadyClock::time_point StartTime) {
  return std::chrono::duration<double, std::milli>{SteadyClock::now() -
                                                   StartTime}
      .count();
}

double quantile(std::vector<double> &Values, double Quantile) {
  if (Values.empty()) {
    return 0;
  }
  std::sort(Values.begin(), Values.end());
  const auto Index = static_cast<std::size_t>(
      Quantile * static_cast<double>(Values.size() - 1));
  return Values[Index];
}

http::Request chatRequest(const json &Options) {
  http::Request Result;
  Result.Method = "POST";
  Result.Path = "/v1/chat/completions";
  for (const auto &[Name, Value] : Options.at("headers").items()) {
    Result.Fields[Name] = Value.get<std::string>();
  }
  Result.Body =
      json{{"model", "chat"},
           {"stream", true},
           {"max_tokens", Options.at("tokens")},
           {"messages",
            json::array({{{"role", "user"}, {"content", "how many?"}}})}}
          .dump();
  return Result;
}

void sendRequest(boost::asio::yield_context Yield, const http::Endpoint &Target,
                 http::Request Request, Measurements &Results) {
  const auto StartTime = SteadyClock::now();
  const auto Deadline = DecisionClock::now() + CallTimeout;
  std::optional<double> FirstByteMs;
  bool Complete = false;
  Request.Fields["X-Request-Id"] = randomHex(16);
  try {
    const auto Response = http::Client{Yield, Target}.open(Request, Deadline);
    std::string Tail;
    while (const auto Chunk = Response->read(Deadline)) {
      if (!FirstByteMs) {
        FirstByteMs = millisSince(StartTime);
      }
      Tail += *Chunk;
      Tail.erase(0, Tail.size() - std::min(Tail.size(), TailBytes));
    }
    Complete = Response->head().Status == 200 &&
               Tail.find("[DONE]") != std::string::npos;
  } catch (const Error &) {
    Complete = false;
  }
  const std::lock_guard Lock{Results.Mutex};
  if (Complete) {
    Results.FirstByteMs.push_back(*FirstByteMs);
    Results.TotalMs.push_back(millisSince(StartTime));
  } else {
    ++Results.Failed;
  }
}

} // namespace

json runLoad(const json &Options) {
  const auto PerSecond = Options.at("per_second").get<double>();
  const auto Seconds = Options.at("seconds").get<double>();
  std::vector<http::Endpoint> Endpoints;
  for (const auto &Address : Options.at("addresses")) {
    Endpoints.push_back(http::Endpoint::parse(Address.get<std::string>()));
  }
  const auto Template = chatRequest(Options);
  const auto Count = static_cast<std::size_t>(PerSecond * Seconds);
  Measurements Result;
  boost::asio::io_context Context;
  const auto StartTime = SteadyClock::now();
  boost::asio::spawn(Context, [&](boost::asio::yield_context Yield) {
    boost::asio::steady_timer Timer{Context};
    for (std::size_t I = 0; I < Count; ++I) {
      const std::chrono::duration<double> DueAfter{static_cast<double>(I) /
                                                   PerSecond};
      Timer.expires_at(
          StartTime +
          std::chrono::duration_cast<SteadyClock::duration>(DueAfter));
      Timer.async_wait(Yield);
      boost::asio::spawn(boost::asio::make_strand(Context),
                         [&, I](boost::asio::yield_context Call) {
                           sendRequest(Call, Endpoints[I % Endpoints.size()],
                                       Template, Result);
                         });
    }
  });
  std::vector<std::thread> Threads;
  for (int I = 0; I < Options.value("threads", 2); ++I) {
    Threads.emplace_back([&] { Context.run(); });
  }
  for (auto &Thread : Threads) {
    Thread.join();
  }
  const auto ElapsedSeconds = millisSince(StartTime) / 1'000;
  const auto CompleteCount = static_cast<double>(Result.TotalMs.size());
  return {
      {"sent", Count},
      {"good", Result.TotalMs.size()},
      {"failed", Result.Failed},
      {"first_p50_ms", quantile(Result.FirstByteMs, 0.5)},
      {"first_p99_ms", quantile(Result.FirstByteMs, 0.99)},
      {"total_p50_ms", quantile(Result.TotalMs, 0.5)},
      {"total_p99_ms", quantile(Result.TotalMs, 0.99)},
      {"per_second", CompleteCount / ElapsedSeconds},
      {"tokens_per_second",
       CompleteCount * Options.at("tokens").get<double>() / ElapsedSeconds}};
}

} // namespace scenario
