/// @file
/// The load generator: a coroutine a request.

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

constexpr Millis CallLimit{30'000};
/// Enough of an answer's end to see that it is whole.
constexpr std::size_t TailBytes = 32;

/// What the callers saw.
struct Seen {
  std::mutex Mutex;          ///< Guards all below.
  std::vector<double> First; ///< Milliseconds.
  std::vector<double> Total; ///< Milliseconds.
  std::uint64_t Failed = 0;
};

double millisSince(SteadyClock::time_point Begun) {
  return std::chrono::duration<double, std::milli>{SteadyClock::now() - Begun}
      .count();
}

double quantile(std::vector<double> &Values, double Part) {
  if (Values.empty()) {
    return 0;
  }
  std::sort(Values.begin(), Values.end());
  const auto At =
      static_cast<std::size_t>(Part * static_cast<double>(Values.size() - 1));
  return Values[At];
}

http::Request requestOf(const json &Asked) {
  http::Request Result;
  Result.Method = "POST";
  Result.Path = "/v1/chat/completions";
  for (const auto &[Name, Value] : Asked.at("headers").items()) {
    Result.Fields[Name] = Value.get<std::string>();
  }
  Result.Body =
      json{{"model", "chat"},
           {"stream", true},
           {"max_tokens", Asked.at("tokens")},
           {"messages",
            json::array({{{"role", "user"}, {"content", "how many?"}}})}}
          .dump();
  return Result;
}

void ask(boost::asio::yield_context Yield, const http::Endpoint &Where,
         http::Request Asked, Seen &Into) {
  const auto Begun = SteadyClock::now();
  const auto Until = DecisionClock::now() + CallLimit;
  std::optional<double> First;
  bool Whole = false;
  Asked.Fields["X-Request-Id"] = randomHex(16);
  try {
    const auto Opened = http::Client{Yield, Where}.open(Asked, Until);
    std::string Tail;
    while (const auto Piece = Opened->read(Until)) {
      if (!First) {
        First = millisSince(Begun);
      }
      Tail += *Piece;
      Tail.erase(0, Tail.size() - std::min(Tail.size(), TailBytes));
    }
    Whole = Opened->head().Status == 200 &&
            Tail.find("[DONE]") != std::string::npos;
  } catch (const Error &) {
    Whole = false;
  }
  const std::lock_guard Lock{Into.Mutex};
  if (Whole) {
    Into.First.push_back(*First);
    Into.Total.push_back(millisSince(Begun));
  } else {
    ++Into.Failed;
  }
}

} // namespace

json runLoad(const json &Asked) {
  const auto PerSecond = Asked.at("per_second").get<double>();
  const auto Seconds = Asked.at("seconds").get<double>();
  std::vector<http::Endpoint> Where;
  for (const auto &One : Asked.at("addresses")) {
    Where.push_back(http::Endpoint::parse(One.get<std::string>()));
  }
  const auto Template = requestOf(Asked);
  const auto Count = static_cast<std::size_t>(PerSecond * Seconds);
  Seen Result;
  boost::asio::io_context Context;
  const auto Begun = SteadyClock::now();
  boost::asio::spawn(Context, [&](boost::asio::yield_context Yield) {
    boost::asio::steady_timer Timer{Context};
    for (std::size_t I = 0; I < Count; ++I) {
      const std::chrono::duration<double> Due{static_cast<double>(I) /
                                              PerSecond};
      Timer.expires_at(Begun +
                       std::chrono::duration_cast<SteadyClock::duration>(Due));
      Timer.async_wait(Yield);
      boost::asio::spawn(boost::asio::make_strand(Context),
                         [&, I](boost::asio::yield_context Call) {
                           ask(Call, Where[I % Where.size()], Template, Result);
                         });
    }
  });
  std::vector<std::thread> Threads;
  for (int I = 0; I < Asked.value("threads", 2); ++I) {
    Threads.emplace_back([&] { Context.run(); });
  }
  for (auto &One : Threads) {
    One.join();
  }
  const auto Took = millisSince(Begun) / 1'000;
  const auto Good = static_cast<double>(Result.Total.size());
  return {
      {"sent", Count},
      {"good", Result.Total.size()},
      {"failed", Result.Failed},
      {"first_p50_ms", quantile(Result.First, 0.5)},
      {"first_p99_ms", quantile(Result.First, 0.99)},
      {"total_p50_ms", quantile(Result.Total, 0.5)},
      {"total_p99_ms", quantile(Result.Total, 0.99)},
      {"per_second", Good / Took},
      {"tokens_per_second", Good * Asked.at("tokens").get<double>() / Took}};
}

} // namespace scenario
