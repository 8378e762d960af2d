/// @file
/// Some replicas send bytes without end in the body of some answers, until the
/// router closes the connection. The platform kills a process that takes more
/// memory than its machine gives it, and starts it again.

#include <algorithm>
#include <array>
#include <csignal>
#include <random>

#include "../common/deployment.hpp"

namespace {

using review::Deployment;
using review::Message;
using review::Replica;

constexpr int Machines = 9;
constexpr int Replicas = 12;
constexpr int Clients = 24;
constexpr int Pieces = 24;
constexpr int PiecesBefore = 3; ///< Sound ones before the endless bytes.
constexpr int RunMs = 50'000;
/// The site file's largest doses of `garble` are 0.6 of the replicas, 0.03 of
/// their answers, 6.5 s at a time.
constexpr int FaultyReplicas = 4;
constexpr double EndlessShare = 0.03;
constexpr std::int64_t FaultyMs = 6'500;
constexpr std::int64_t FaultyIntervalMs = 10'000;
/// `memoryMb` and `linkMbps` of a machine, as the settings file says.
constexpr std::size_t MemoryBytes = std::size_t{260} << 20U;
constexpr std::size_t LinkBytesPerMs = 125'000;
constexpr int WatchMs = 10;
constexpr int RestartDelayMs = 300;
/// The rule: so many ends each, on so many machines.
constexpr int MaxEnds = 3;
constexpr int MaxMachines = 2;

constexpr const char *Manifest = R"({"version":7,"routes":[
{"name":"r-1","host":"shop.example","pathPrefix":"/chat/","kind":"streaming",
"timeoutMs":12000,"sloMs":400,"priority":0,"service":"llm","maxAttempts":1,
"public":false,"sticky":true,"resumable":false,"targetGapMs":400}],
"services":[{"name":"llm","healthPath":"/health","maxConns":370,
"engine":{"capacity":64,"kvCapacity":711700,"stride":6}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"stall","apiKeys":["key-1"],"prepaid":900000000}]})";

class Scene {
public:
  Scene(review::Record &Log, Deployment &Fleet) : Log{Log}, Fleet{Fleet} {}

  bool stream(Replica &Self, review::Socket &To, const Message &Request,
              bool Faulty) {
    const bool Endless = Faulty && faultyNow() && draw() < EndlessShare;
    if (Endless) {
      Log.line(Self.name() + " sends bytes without end to " +
               Request.field("X-Goldcrestnotch-Attempt-Id"));
    }
    if (!To.write(Self.head(Request, "Content-Type: text/event-stream\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n"))) {
      return false;
    }
    for (int I = 1; I <= Pieces; ++I) {
      if (Endless && I > PiecesBefore) {
        sendWithoutEnd(Self, To);
        return false;
      }
      const auto Event = "id: " + std::to_string(I) + "\ndata: piece\n\n";
      std::array<char, 20> Size{};
      std::snprintf(Size.data(), Size.size(), "%zx\r\n", Event.size());
      if (To.peerGone() || !To.write(Size.data() + Event + "\r\n")) {
        return false;
      }
      review::pauseMs(5);
    }
    return To.write("0\r\n\r\n");
  }

  void client(int Number, std::int64_t Deadline) {
    for (int I = 0; review::elapsedMs() < Deadline; ++I) {
      const auto Id = "c" + std::to_string(Number) + "-" + std::to_string(I);
      const auto Answer = Fleet.call(
          (Number + I) % Machines,
          "POST /chat/2f HTTP/1.1\r\nHost: shop.example\r\n"
          "X-Goldcrestnotch-Attempt-Id: " +
              Id +
              "\r\nX-Goldcrestnotch-Model: m\r\n"
              "X-Goldcrestnotch-Token-Usage: 1460,144\r\n"
              "X-Goldcrestnotch-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410," +
              std::to_string(1'000 + Number) +
              ":250\r\nX-Goldcrestnotch-Deadline-Ms: 12000\r\n"
              "Authorization: Bearer key-1\r\nContent-Length: 2\r\n"
              "Connection: close\r\n\r\nhi",
          13'000);
      if (Answer.status() == 200 && Answer.Complete) {
        ++Whole;
      } else {
        ++NotWhole;
        review::pauseMs(50);
      }
    }
  }

  /// The platform: kills processes that take too much memory.
  void watch(std::int64_t Deadline) {
    while (review::elapsedMs() < Deadline) {
      for (int I = 0; I < Machines; ++I) {
        const auto Bytes = Fleet.daemon(I).residentBytes();
        auto &Most = MostBytes[static_cast<std::size_t>(I)];
        Most = std::max(Most, Bytes);
        if (Bytes > MemoryBytes || Fleet.daemon(I).ended(0)) {
          restart(I, Bytes);
        }
      }
      review::pauseMs(WatchMs);
    }
  }

  /// Returns whether processes ended so often that the rule is broken.
  [[nodiscard]] bool broken() {
    int Count = 0;
    for (std::size_t I = 0; I < Ends.size(); ++I) {
      const bool Often = Ends[I] >= MaxEnds;
      Count += Often ? 1 : 0;
      report(std::string{Often ? "BROKEN " : ""} + "machine " +
             std::to_string(I) + ": " + std::to_string(Ends[I]) +
             " ends, at most " + std::to_string(MostBytes[I] / 1'000'000) +
             " MB");
    }
    report(std::to_string(Whole) + " whole, " + std::to_string(NotWhole) +
           " other answers");
    return Count >= MaxMachines;
  }

  std::atomic<std::int64_t> Begin{1'000'000'000}; ///< Of the traffic.
  std::atomic<int> Whole{0};
  std::atomic<int> NotWhole{0};

private:
  /// Bytes without a line end where the head of the next chunk is due, no
  /// faster than the link of a machine.
  void sendWithoutEnd(const Replica &Self, const review::Socket &To) {
    const std::string Bytes(LinkBytesPerMs, '#');
    const auto From = review::elapsedMs();
    std::int64_t Sent = 0;
    while (To.write(Bytes)) {
      ++Sent;
      review::pauseMs(
          std::max<std::int64_t>(From + Sent - review::elapsedMs(), 0));
    }
    Log.line(Self.name() + " is closed after " +
             std::to_string(Sent * static_cast<std::int64_t>(LinkBytesPerMs) /
                            1'000'000) +
             " MB in " + std::to_string(review::elapsedMs() - From) + " ms");
  }

  void restart(int Machine, std::size_t Bytes) {
    Log.line("machine " + std::to_string(Machine) + " has " +
             std::to_string(Bytes / 1'000'000) + " MB and is killed");
    Fleet.daemon(Machine).signal(SIGKILL);
    (void)Fleet.daemon(Machine).ended(2'000);
    ++Ends[static_cast<std::size_t>(Machine)];
    review::pauseMs(RestartDelayMs);
    Fleet.startDaemon(Machine);
  }

  void report(const std::string &Text) {
    Log.line(Text);
    std::puts(Text.c_str());
  }

  [[nodiscard]] bool faultyNow() const {
    const auto Since = review::elapsedMs() - Begin;
    return Since >= 0 && Since % FaultyIntervalMs < FaultyMs;
  }

  double draw() {
    const std::lock_guard Lock{Mutex};
    return std::uniform_real_distribution<double>{}(Random);
  }

  review::Record &Log;
  Deployment &Fleet;
  std::array<int, Machines> Ends{};
  std::array<std::size_t, Machines> MostBytes{};
  std::mutex Mutex;
  std::mt19937_64 Random{34}; ///< Guarded by `Mutex`.
};

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2) {
    return 2;
  }
  try {
    review::Record Log{Arguments[1]};
    Deployment Fleet{Machines, Manifest, Log};
    Scene Play{Log, Fleet};
    const bool Trouble = review::troubleWanted();
    for (int I = 0; I < Replicas; ++I) {
      const bool Faulty = Trouble && I < FaultyReplicas;
      Fleet.addReplica("i-" + std::to_string(I), "llm",
                       [&Play, Faulty](Replica &Self, review::Socket &To,
                                       const Message &Request) {
                         return Play.stream(Self, To, Request, Faulty);
                       });
    }
    if (!Fleet.start()) {
      return 2;
    }
    review::pauseMs(3'000);
    Play.Begin = review::elapsedMs();
    std::vector<std::thread> Threads;
    Threads.reserve(Clients);
    for (int I = 0; I < Clients; ++I) {
      Threads.emplace_back([&, I] { Play.client(I, Play.Begin + RunMs); });
    }
    Play.watch(Play.Begin + RunMs);
    for (auto &Thread : Threads) {
      Thread.join();
    }
    const bool Broken = Play.broken();
    if (Play.Whole == 0) {
      return 2;
    }
    return Broken ? 1 : 0;
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "%s\n", Failure.what());
    return 2;
  }
}
