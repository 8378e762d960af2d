/// @file
/// Sends the requests of a scenario with the library's HTTP client.

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

http::Request requestOf(const json &Options) {
  http::Request Result;
  Result.Method = Options.value("method", std::string{"GET"});
  const auto Path = Options.value("path", std::string{"/"});
  const auto QueryMark = Path.find('?');
  Result.Path = Path.substr(0, QueryMark);
  Result.Query =
      QueryMark == std::string::npos ? "" : Path.substr(QueryMark + 1);
  Result.Body = Options.value("body", std::string{});
  if (const auto It = Options.find("headers");
      It != Options.end() && It->is_object()) {
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
  for (auto &Thread : Threads) {
    Thread.join();
  }
}

std::uint64_t Caller::start(const json &Options) {
  std::uint64_t CallId = 0;
  {
    const std::lock_guard Lock{Mutex};
    CallId = ++LastId;
    Calls[CallId] = Call{};
  }
  boost::asio::spawn(
      boost::asio::make_strand(Context),
      [this, CallId, Options](boost::asio::yield_context Yield) {
        const auto StartTime = DecisionClock::now();
        const auto Deadline =
            StartTime + Millis{Options.value("timeout_ms", DefaultTimeoutMs)};
        const Millis Stall{Options.value("stall_ms", std::int64_t{0})};
        json Result{{"body", ""}};
        try {
          http::Client Connection{
              Yield,
              http::Endpoint::parse(Options.at("address").get<std::string>())};
          const auto Response = Connection.open(requestOf(Options), Deadline);
          Result["status"] = Response->head().Status;
          for (const auto &[Name, Value] : Response->head().Fields) {
            Result["headers"][Name] = Value;
          }
          std::string Body;
          boost::asio::steady_timer Timer{goldcrestnotch::executorOf(Yield)};
          while (true) {
            if (Stall > Millis{0}) {
              Timer.expires_after(Stall);
              Timer.async_wait(Yield);
            }
            const auto Chunk = Response->read(Deadline);
            if (!Chunk) {
              break;
            }
            if (Body.empty() && !Chunk->empty()) {
              Result["first_ms"] = (DecisionClock::now() - StartTime).count();
            }
            Body += *Chunk;
            Result["body"] = Body;
            const std::lock_guard Lock{Mutex};
            Calls[CallId].Received = Body.size();
          }
        } catch (const Error &Failure) {
          Result["error"] = Failure.what();
          Result["verdict"] = std::string{toString(Failure.verdict())};
        } catch (const std::exception &Failure) {
          Result["error"] = Failure.what();
        }
        Result["total_ms"] = (DecisionClock::now() - StartTime).count();
        finish(CallId, std::move(Result));
      });
  return CallId;
}

void Caller::finish(std::uint64_t CallId, json Result) {
  const std::lock_guard Lock{Mutex};
  Calls[CallId].Done = true;
  Calls[CallId].Result = std::move(Result);
  CallDone.notify_all();
}

json Caller::wait(std::uint64_t CallId) {
  std::unique_lock Lock{Mutex};
  CallDone.wait(Lock, [&] { return Calls[CallId].Done; });
  auto Result = std::move(Calls[CallId].Result);
  Calls.erase(CallId);
  return Result;
}

std::size_t Caller::received(std::uint64_t CallId) {
  const std::lock_guard Lock{Mutex};
  const auto It = Calls.find(CallId);
  return It == Calls.end() ? 0 : It->second.Received;
}

} // namespace scenario
