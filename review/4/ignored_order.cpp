/// @file
/// The store returns from a copy some seconds old, and the operator orders a
/// roll-out as soon as it is back. The new version is bad: it may get a small
/// share of the traffic only, and the order has to be answered.

#include <algorithm>
#include <array>
#include <random>

#include "../common/deployment.hpp"

namespace {

using review::Deployment;
using review::Message;
using review::Replica;

constexpr int Machines = 9;
constexpr int OldReplicas = 6;
constexpr int NewReplicas = 3; ///< Of each new version.
constexpr int Clients = 16;
constexpr int WorkMs = 20; ///< Before the first piece.
constexpr int Pieces = 4;
constexpr int PromptParts = 40; ///< Different second parts of prompts.
/// Times from the start of the traffic.
constexpr int CopyMs = 5'000;
constexpr int FirstChangeMs = 5'500;
constexpr int SecondChangeMs = 6'000;
constexpr int FirstOrderMs = 6'500;
constexpr int DownMs = 12'000;
constexpr int ReturnMs = 14'000; ///< The second order follows at once.
constexpr int OrderSpanMs = 12'000;
constexpr int RemovalMs = 2'500;    ///< From `draining` to the end of an entry.
constexpr double FailedShare = 0.5; ///< Of the answers of a bad version.
// Bounds of the settings file.
constexpr std::int64_t ContactMs = 3'000;
constexpr double ExposureShare = 0.1;
constexpr double ExposureSlack = 50;

std::string manifest(int Version) {
  return R"({"version":)" + std::to_string(Version) + R"(,"routes":[
{"name":"r-1","host":"shop.example","pathPrefix":"/tag/",
"kind":"streaming","timeoutMs":3000,"sloMs":400,"priority":2,
"service":"llm","maxAttempts":2,"public":false,"sticky":true,
"resumable":true,"targetGapMs":400}],
"services":[{"name":"llm","healthPath":"/health","maxConns":370,
"engine":{"capacity":64,"kvCapacity":711700,"stride":6}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"stall","apiKeys":["key-1"],"prepaid":)" +
         std::to_string(100'000'000 * Version) + "}]}";
}

std::string order(const std::string &Version) {
  return R"({"service":"llm","target":")" + Version + R"(","durationS":)" +
         std::to_string(OrderSpanMs / 1'000) + "}";
}

class Scene {
public:
  Scene(review::Record &Log, Deployment &Fleet) : Log{Log}, Fleet{Fleet} {}

  bool answer(Replica &Self, review::Socket &To, const Message &Request) {
    review::pauseMs(WorkMs);
    const bool Fails = Self.version() != "v1" && draw() < FailedShare;
    {
      const std::lock_guard Lock{Mutex};
      Arrivals.push_back({review::elapsedMs(), Self.version()});
    }
    if (Fails) {
      Log.line(Self.name() + " fails " +
               Request.field("X-Goldcrestnotch-Attempt-Id"));
    }
    if (Fails) {
      auto Answer = Self.head(Request, "Content-Length: 4\r\n\r\nfail");
      Answer.replace(0, Answer.find("\r\n"),
                     "HTTP/1.1 500 Internal Server Error");
      return To.write(Answer);
    }
    std::string Body;
    for (int I = 1; I <= Pieces; ++I) {
      Body += "id: ";
      Body += std::to_string(I);
      Body += "\ndata: piece\n\n";
    }
    return To.write(Self.head(Request, "Content-Type: text/event-stream\r\n"
                                       "Content-Length: " +
                                           std::to_string(Body.size()) +
                                           "\r\n\r\n") +
                    Body);
  }

  void client(int Number, std::int64_t Deadline) {
    for (int I = 0; review::elapsedMs() < Deadline; ++I) {
      const auto Id = "c" + std::to_string(Number) + "-" + std::to_string(I);
      const auto Answer =
          Fleet.call((Number + I) % Machines,
                     requestOf(Id, (Number * 7 + I) % PromptParts), 4'000);
      Served += Answer.status() == 200 ? 1 : 0;
      review::pauseMs(80);
    }
  }

  /// The operator, its drill, and the roll-outs.
  void operate(std::int64_t Begin) {
    const bool Trouble = review::troubleWanted();
    waitUntil(Begin + CopyMs);
    if (Trouble) {
      note("the store is copied");
      Fleet.store().takeCopy();
    }
    waitUntil(Begin + FirstChangeMs);
    put("config", manifest(8));
    waitUntil(Begin + SecondChangeMs);
    put("config", manifest(9));
    waitUntil(Begin + FirstOrderMs);
    const auto Second = startVersion("v2");
    put("rollout/llm", order("v2"));
    waitForEnd("v2", Begin + DownMs);
    std::thread Drain{[&] { drainVersion(Second); }};
    waitUntil(Begin + DownMs);
    if (Trouble) {
      note("the store is away");
      Fleet.store().Down = true;
    }
    waitUntil(Begin + ReturnMs);
    if (Trouble) {
      note("the store is back from its copy");
      Fleet.store().restore();
      Fleet.store().Down = false;
    }
    put("rollout/llm", order("v3"));
    Ordered = review::elapsedMs();
    startVersion("v3");
    Drain.join();
    waitForEnd("v3", Ordered + OrderSpanMs);
    note("status of the order: " + status());
  }

  /// Returns whether the bad version got too much.
  [[nodiscard]] bool broken() {
    const std::lock_guard Lock{Mutex};
    double All = 0;
    double Bad = 0;
    for (const auto &[When, Version] : Arrivals) {
      // From when the machines are in touch again, and the same without a
      // drill, until the deadline of the order.
      if (When >= Ordered + ContactMs && When < Ordered + OrderSpanMs) {
        All += 1;
        Bad += Version == "v3" ? 1 : 0;
      }
    }
    const bool Result = Bad > ExposureShare * All + ExposureSlack;
    note(std::string{Result ? "BROKEN " : ""} + "the bad version v3 got " +
         std::to_string(static_cast<int>(Bad)) + " of " +
         std::to_string(static_cast<int>(All)) + " requests");
    return Result;
  }

  std::atomic<int> Served{0};

private:
  static std::string requestOf(const std::string &Id, int Part) {
    return "POST /tag/2f HTTP/1.1\r\nHost: shop.example\r\n"
           "X-Goldcrestnotch-Attempt-Id: " +
           Id +
           "\r\nX-Goldcrestnotch-Model: m\r\n"
           "X-Goldcrestnotch-Token-Usage: 1800,24\r\n"
           "X-Goldcrestnotch-Prompt-Prefix: 5c1e07a2:800,f00d" +
           std::to_string(Part) + ":410," + Id +
           ":250\r\nX-Goldcrestnotch-Deadline-Ms: 3000\r\n"
           "Authorization: Bearer key-1\r\nContent-Length: 2\r\n"
           "Connection: close\r\n\r\nhi";
  }

  static void waitUntil(std::int64_t When) {
    review::pauseMs(std::max<std::int64_t>(When - review::elapsedMs(), 0));
  }

  double draw() {
    const std::lock_guard Lock{Mutex};
    return std::uniform_real_distribution<double>{}(Random);
  }

  void note(const std::string &Text) {
    Log.line(Text);
    std::puts(Text.c_str());
  }

  void put(const std::string &Key, const std::string &Value) {
    Log.line("the operator writes op/" + Key + ": " + Value.substr(0, 60));
    Fleet.store().put("keyed.op", Key, Value);
  }

  /// Starts the replicas of a version beside the old ones.
  std::vector<Replica *> startVersion(const std::string &Version) {
    std::vector<Replica *> Result;
    Result.reserve(NewReplicas);
    for (int I = 0; I < NewReplicas; ++I) {
      Result.push_back(&Fleet.addReplica(
          "i-" + Version + "-" + std::to_string(I), "llm",
          [this](Replica &Self, review::Socket &To, const Message &Request) {
            return answer(Self, To, Request);
          },
          Version));
    }
    return Result;
  }

  /// The replicas of a version that was rolled back leave.
  void drainVersion(const std::vector<Replica *> &Members) {
    std::vector<std::thread> Threads;
    Threads.reserve(Members.size());
    for (const auto *Member : Members) {
      Threads.emplace_back(
          [this, Member] { Fleet.drainReplica(*Member, RemovalMs); });
    }
    for (auto &Thread : Threads) {
      Thread.join();
    }
  }

  [[nodiscard]] std::string status() const {
    return Fleet.store().value("keyed.status", "rollout/llm").value_or("none");
  }

  /// Waits until the move to a version has ended, or a time has come.
  void waitForEnd(const std::string &Version, std::int64_t Deadline) {
    const auto Ended = [&] {
      const auto Text = status();
      return Text.find('"' + Version + '"') != std::string::npos &&
             Text.find("running") == std::string::npos;
    };
    while (!Ended() && review::elapsedMs() < Deadline) {
      review::pauseMs(20);
    }
    note("status of the move to " + Version + ": " + status());
  }

  review::Record &Log;
  Deployment &Fleet;
  std::int64_t Ordered = 0; ///< When the second order was written.
  std::mutex Mutex;
  std::mt19937_64 Random{34};                                 ///< By `Mutex`.
  std::vector<std::pair<std::int64_t, std::string>> Arrivals; ///< By `Mutex`.
};

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2) {
    return 2;
  }
  try {
    review::Record Log{Arguments[1]};
    Deployment Fleet{Machines, manifest(7), Log};
    Scene Play{Log, Fleet};
    for (int I = 0; I < OldReplicas; ++I) {
      Fleet.addReplica(
          "i-" + std::to_string(I), "llm",
          [&Play](Replica &Self, review::Socket &To, const Message &Request) {
            return Play.answer(Self, To, Request);
          });
    }
    if (!Fleet.start()) {
      return 2;
    }
    review::pauseMs(3'000);
    const auto Begin = review::elapsedMs();
    std::vector<std::thread> Threads;
    Threads.reserve(Clients);
    for (int I = 0; I < Clients; ++I) {
      Threads.emplace_back(
          [&, I] { Play.client(I, Begin + ReturnMs + OrderSpanMs); });
    }
    Play.operate(Begin);
    for (auto &Thread : Threads) {
      Thread.join();
    }
    const bool Broken = Play.broken();
    if (Play.Served == 0) {
      return 2;
    }
    return Broken ? 1 : 0;
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "%s\n", Failure.what());
    return 2;
  }
}
