/// @file
/// Requests on the library's HTTP client.

#include "caller.hpp"

#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/client.hpp"
#include "goldcrestnotch/kernel/await.hpp"

namespace scenario {

using namespace goldcrestnotch;
using nlohmann::json;

namespace {

constexpr std::int64_t DefaultTimeoutMs = 30'000;
constexpr int ThreadCount = 2;

http::Request requestOf(const json &Asked) {
  http::Request Result;
  Result.Method = Asked.value("method", std::string{"GET"});
  const auto Path = Asked.value("path", std::string{"/"});
  const auto Mark = Path.find('?');
  Result.Path = Path.substr(0, Mark);
  Result.Query = Mark == std::string::npos ? "" : Path.substr(Mark + 1);
  Result.Body = Asked.value("body", std::string{});
  if (const auto It = Asked.find("headers");
      It != Asked.end() && It->is_object()) {
    for (const auto &[Name, Value] : It->items()) {
      Result.Fields[Name] = Value.get<std::string>();
    }
  }
  return Result;
}

} // namespace

Caller::Caller() : Guard{Context.get_executor()} {
  for (int I = 0; I < ThreadCount; ++I) {
    Threads.emplace_back([this] { Context.run(); });
  }
}

Caller::~Caller() {
  Context.stop();
  for (auto &One : Threads) {
    One.join();
  }
}

std::uint64_t Caller::start(const json &Asked) {
  std::uint64_t Number = 0;
  {
    const std::lock_guard Lock{Mutex};
    Number = ++Last;
    Calls[Number] = Call{};
  }
  boost::asio::spawn(
      boost::asio::make_strand(Context),
      [this, Number, Asked](boost::asio::yield_context Yield) {
        const auto Begun = DecisionClock::now();
        const auto Until =
            Begun + Millis{Asked.value("timeout_ms", DefaultTimeoutMs)};
        const Millis Stall{Asked.value("stall_ms", std::int64_t{0})};
        json Result{{"body", ""}};
        try {
          http::Client Link{Yield, http::Endpoint::parse(
                                       Asked.at("address").get<std::string>())};
          const auto Opened = Link.open(requestOf(Asked), Until);
          Result["status"] = Opened->head().Status;
          for (const auto &[Name, Value] : Opened->head().Fields) {
            Result["headers"][Name] = Value;
          }
          std::string Body;
          boost::asio::steady_timer Timer{goldcrestnotch::executorOf(Yield)};
          while (true) {
            if (Stall > Millis{0}) {
              Timer.expires_after(Stall);
              Timer.async_wait(Yield);
            }
            const auto Piece = Opened->read(Until);
            if (!Piece) {
              break;
            }
            if (Body.empty() && !Piece->empty()) {
              Result["first_ms"] = (DecisionClock::now() - Begun).count();
            }
            Body += *Piece;
            Result["body"] = Body;
            const std::lock_guard Lock{Mutex};
            Calls[Number].Received = Body.size();
          }
        } catch (const Error &Failure) {
          Result["error"] = Failure.what();
          Result["verdict"] = std::string{toString(Failure.verdict())};
        } catch (const std::exception &Failure) {
          Result["error"] = Failure.what();
        }
        Result["total_ms"] = (DecisionClock::now() - Begun).count();
        finish(Number, std::move(Result));
      });
  return Number;
}

void Caller::finish(std::uint64_t Number, json Result) {
  const std::lock_guard Lock{Mutex};
  Calls[Number].Done = true;
  Calls[Number].Result = std::move(Result);
  Ended.notify_all();
}

json Caller::wait(std::uint64_t Number) {
  std::unique_lock Lock{Mutex};
  Ended.wait(Lock, [&] { return Calls[Number].Done; });
  auto Result = std::move(Calls[Number].Result);
  Calls.erase(Number);
  return Result;
}

std::size_t Caller::received(std::uint64_t Number) {
  const std::lock_guard Lock{Mutex};
  const auto It = Calls.find(Number);
  return It == Calls.end() ? 0 : It->second.Received;
}

} // namespace scenario
