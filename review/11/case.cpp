/// @file
/// A replica fails part of its orders after it ran them, with status 503 and
/// without saying that it did not run them.

#include <iostream>
#include <set>
#include <thread>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "../standins-3/case.hpp"
#include "../standins-3/machines.hpp"

namespace review {
namespace {

constexpr int Vms = 3;
constexpr int Replicas = 3;
constexpr int Orders = 400;
constexpr std::chrono::milliseconds OrderInterval{40};
constexpr Millis Work{60};
/// The replica fails part of its requests from then on, and for so long.
constexpr double FaultBeginS = 4;
constexpr double FaultLengthS = 6.5;
/// Of ten requests, so many fail.
constexpr int FailuresInTen = 4;
constexpr int DeadlineMs = 1'500;
constexpr int StatusUnavailable = 503;

/// @brief What one consumer does with an order, by the pages.
class Shop {
public:
  explicit Shop(const std::string &RecordFile) : Log{RecordFile}, Fleet{Vms} {
    Fleet.publish(Machines::manifest(
        1, json::array(
               {Machines::route("/order/", "non_idempotent", "desk", 1)})));
    for (int I = 0; I < Replicas; ++I) {
      Desks.push_back(std::make_unique<ScriptedReplica>(
          Fleet.Context, "i-desk" + std::to_string(I), "desk",
          [this, I](http::Exchange &Request, http::Response Reply) {
            work(I, Request, std::move(Reply));
          }));
      Fleet.Store.put("keyed.servers", Desks.back()->name(),
                      Desks.back()->entry());
    }
    Fleet.startAll();
  }

  [[nodiscard]] bool ready() { return Fleet.allReady(); }

  void run() {
    BeginS = Log.seconds();
    std::vector<std::thread> Consumers;
    for (int I = 0; I < Orders; ++I) {
      Consumers.emplace_back([this, I] { order(I); });
      std::this_thread::sleep_for(OrderInterval);
    }
    for (auto &Consumer : Consumers) {
      Consumer.join();
    }
  }

  [[nodiscard]] int report() {
    std::ostringstream Text;
    Text << Orders << " orders, " << Attempts << " attempts, " << Served
         << " served, " << FalsePromises
         << " attempts answered 503 that a replica has run, " << Doubled.size()
         << " orders run twice";
    Log.line(Text.str());
    std::cout << Text.str() << '\n';
    return FalsePromises > 0 ? Broken : Held;
  }

private:
  void work(int Desk, http::Exchange &Request, http::Response Reply) {
    const std::string Attempt{Request.request().field(AttemptHeader)};
    const auto Order = Request.request().Path;
    boost::asio::steady_timer Timer{executorOf(Request.yield()), Work};
    Timer.async_wait(Request.yield());
    const double Now = Log.seconds() - BeginS;
    const bool Grey = troubled() && Desk == 0 && Now >= FaultBeginS &&
                      Now < FaultBeginS + FaultLengthS;
    const bool Fails = Grey && Counter++ % 10 < FailuresInTen;
    noteRun(Order, Attempt, Desk, Fails);
    if (Fails) {
      Reply.Status = StatusUnavailable;
      Reply.Body = "the confirmation could not be printed";
    } else {
      Reply.Body = "booked";
    }
    Request.reply(Reply);
  }

  void noteRun(const std::string &Order, const std::string &Attempt, int Desk,
               bool Fails) {
    {
      const std::lock_guard Lock{Mutex};
      if (++RunsByOrder[Order] > 1) {
        Doubled.insert(Order);
      }
    }
    Log.line("i-desk" + std::to_string(Desk) + " has run " + Order +
             " of attempt " + Attempt +
             (Fails ? " and answers 503 without Not-Executed" : ""));
  }

  /// @brief Sends an order, and once more if the answer promises that it has
  /// not run.
  void order(int Number) {
    const std::string Path = "/order/" + std::to_string(Number);
    if (!promise(attempt(Path, Number, 0))) {
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
    (void)attempt(Path, Number, 1);
  }

  [[nodiscard]] static bool promise(int Status) {
    return Status == StatusUnavailable || Status == 429 || Status == 408 ||
           Status == 421;
  }

  int attempt(const std::string &Path, int Number, int Try) {
    const auto Attempt =
        "a" + std::to_string(Number) + "-" + std::to_string(Try);
    Log.line("attempt " + Attempt + " of " + Path + " sent");
    auto Result =
        Machines::send(Machines::request("POST", Path, Attempt, DeadlineMs),
                       Machines::front((Number + Try) % Vms), DeadlineMs);
    const auto Receipt = Result.Fields["X-Goldcrestnotch-Replica-Signature"];
    Log.line("attempt " + Attempt + " answered " +
             std::to_string(Result.Status) + " with receipt '" + Receipt +
             "' and body '" + Result.Body + "'");
    int Runs = 0;
    for (const auto &Desk : Desks) {
      Runs += Desk->runsOf(Attempt);
    }
    ++Attempts;
    Served += Result.Status == 200 ? 1 : 0;
    if (promise(Result.Status) && Runs > 0) {
      ++FalsePromises;
      Log.line("REFUSED: attempt " + Attempt + " was answered " +
               std::to_string(Result.Status) + " and has run");
    }
    return Result.Status;
  }

  Record Log;
  Machines Fleet;
  std::vector<std::unique_ptr<ScriptedReplica>> Desks;
  double BeginS = 0;
  std::atomic<int> Counter{0};
  std::atomic<int> Attempts{0};
  std::atomic<int> Served{0};
  std::atomic<int> FalsePromises{0};
  std::mutex Mutex;
  std::map<std::string, int> RunsByOrder; ///< Guarded by `Mutex`.
  std::set<std::string> Doubled;          ///< Guarded by `Mutex`.
};

int play(const std::string &RecordFile) {
  Shop Players{RecordFile};
  if (!Players.ready()) {
    std::cerr << "the machines did not become ready\n";
    return NotRun;
  }
  Players.run();
  return Players.report();
}

} // namespace
} // namespace review

int main(int Count, char **Words) {
  return Count == 2 ? review::play(Words[1]) : review::NotRun;
}
