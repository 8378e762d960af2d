/// @file
/// Streams of a resumable route while some replicas spoil a small part of their
/// answers. A stream that the client gets as complete must hold every piece
/// once.

#include <random>

#include "../common/deployment.hpp"

namespace {

using review::Deployment;
using review::Message;
using review::Replica;

constexpr int Machines = 9;
constexpr int Replicas = 12;
constexpr int Pieces = 24;
constexpr int RunMs = 30'000;
constexpr int Clients = 24;
/// The largest doses of `garble` in the site file: 0.6 of the replicas, 0.03 of
/// their answers, 6.5 s at a time. It comes three times.
constexpr int SpoilingReplicas = 7;
constexpr double SpoiledShare = 0.03;
constexpr std::int64_t SpoilingMs = 6'500;
constexpr std::int64_t SpoilingIntervalMs = 10'000;
constexpr std::size_t SpoiledBytes = 24;

constexpr const char *Manifest = R"({"version":7,"routes":[
{"name":"r-1","host":"shop.example","pathPrefix":"/reply/","kind":"streaming",
"timeoutMs":15000,"sloMs":600,"priority":1,"service":"llm","maxAttempts":2,
"public":false,"sticky":true,"resumable":true,"targetGapMs":400}],
"services":[{"name":"llm","healthPath":"/health","maxConns":370,
"engine":{"capacity":64,"kvCapacity":711700,"stride":6}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"stall","apiKeys":["key-1"],"prepaid":900000000}]})";

std::string piece(int Number) {
  return "id: " + std::to_string(Number) + "\ndata: piece " +
         std::to_string(Number) + " " + std::string(40, 'p') + "\n\n";
}

std::string chunk(const std::string &Bytes) {
  std::array<char, 20> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Bytes.size());
  return Size.data() + Bytes + "\r\n";
}

/// Numbers of the pieces of which a client got neither the id nor the data.
std::set<int> absentPieces(const std::string &Body) {
  std::set<int> Result;
  for (int I = 1; I <= Pieces; ++I) {
    const auto Number = std::to_string(I);
    if (Body.find("id: " + Number + "\n") == std::string::npos &&
        Body.find("data: piece " + Number + " ") == std::string::npos) {
      Result.insert(I);
    }
  }
  return Result;
}

class Scene {
public:
  explicit Scene(review::Record &Log) : Log{Log} {}

  /// Sends the pieces after the client's last one. A spoiled answer has wrong
  /// bytes in the place of some right ones.
  bool stream(Replica &Self, review::Socket &To, const Message &Request,
              bool Spoils) {
    const auto Attempt = Request.field("X-Goldcrestnotch-Attempt-Id");
    const int First = std::atoi(Request.field("Last-Event-Id").c_str()) + 1;
    std::string Body;
    std::vector<std::size_t> Ends; // Of the pieces.
    for (int I = First; I <= Pieces; ++I) {
      Body += piece(I);
      Ends.push_back(Body.size());
    }
    std::string Note = Self.name() + " sends " + Attempt + " from piece " +
                       std::to_string(First);
    if (Spoils && spoilingNow() && draw() < SpoiledShare &&
        Body.size() > 2 * SpoiledBytes) {
      const auto At = static_cast<std::size_t>(
          draw() * static_cast<double>(Body.size() - SpoiledBytes));
      Body.replace(At, SpoiledBytes, std::string(SpoiledBytes, '#'));
      Note += ", spoils bytes of the pieces";
      for (const int Number : touch(Attempt, First, Ends, At)) {
        Note += " " + std::to_string(Number);
      }
      ++Spoiled;
    }
    Log.line(Note);
    if (!To.write(Self.head(Request, "Content-Type: text/event-stream\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n"))) {
      return false;
    }
    std::size_t Begin = 0;
    for (const auto End : Ends) {
      if (To.peerGone() || !To.write(chunk(Body.substr(Begin, End - Begin)))) {
        return false;
      }
      Begin = End;
      review::pauseMs(8);
    }
    return To.write("0\r\n\r\n");
  }

  void client(Deployment &Fleet, int Number, std::int64_t Deadline) {
    for (int I = 0; review::elapsedMs() < Deadline; ++I) {
      const auto Id = "c" + std::to_string(Number) + "-" + std::to_string(I);
      const auto Answer = Fleet.call(
          (Number + I) % Machines,
          "POST /reply/2f HTTP/1.1\r\nHost: shop.example\r\n"
          "X-Goldcrestnotch-Attempt-Id: " +
              Id +
              "\r\nX-Goldcrestnotch-Model: m\r\n"
              "X-Goldcrestnotch-Token-Usage: 1460,144\r\n"
              "X-Goldcrestnotch-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410," +
              std::to_string(1'000 + Number) +
              ":250\r\nX-Goldcrestnotch-Deadline-Ms: 15000\r\n"
              "Authorization: Bearer key-1\r\nContent-Length: 2\r\n"
              "Connection: close\r\n\r\nhi",
          16'000);
      judge(Id, Answer);
    }
  }

  std::atomic<std::int64_t> Begin{1'000'000'000}; ///< Of the traffic.
  std::atomic<int> Whole{0};
  std::atomic<int> BrokenOff{0};
  std::atomic<int> Others{0};
  std::atomic<int> Spoiled{0};
  std::atomic<int> WithHoles{0};

private:
  [[nodiscard]] bool spoilingNow() const {
    const auto Since = review::elapsedMs() - Begin;
    return Since >= 0 && Since % SpoilingIntervalMs < SpoilingMs;
  }

  /// Notes the pieces that hold wrong bytes.
  std::set<int> touch(const std::string &Attempt, int First,
                      const std::vector<std::size_t> &Ends, std::size_t At) {
    const std::lock_guard Lock{Mutex};
    auto &Result = Touched[Attempt];
    for (std::size_t I = 0; I < Ends.size(); ++I) {
      const auto From = I == 0 ? 0 : Ends[I - 1];
      if (At < Ends[I] && At + SpoiledBytes > From) {
        Result.insert(First + static_cast<int>(I));
      }
    }
    return Result;
  }

  double draw() {
    const std::lock_guard Lock{Mutex};
    return std::uniform_real_distribution<double>{}(Random);
  }

  void judge(const std::string &Id, const Message &Answer) {
    if (Answer.status() != 200) {
      ++Others;
      return;
    }
    if (!Answer.Complete) {
      ++BrokenOff; // The client sees that the stream is not whole.
      return;
    }
    const bool WrongBytes = Answer.Body.find('#') != std::string::npos;
    std::string Missing;
    for (const int Number : absentPieces(Answer.Body)) {
      // A client that got a piece with the replica's wrong bytes has it, as far
      // as this check goes. No replica spoiled the other pieces.
      if (!WrongBytes || !touched(Id, Number)) {
        Missing += " " + std::to_string(Number);
      }
    }
    if (Missing.empty()) {
      ++Whole;
      return;
    }
    ++WithHoles;
    Log.line("BROKEN " + Id + " ends as complete without the pieces" + Missing);
  }

  [[nodiscard]] bool touched(const std::string &Attempt, int Number) {
    const std::lock_guard Lock{Mutex};
    return Touched[Attempt].contains(Number);
  }

  review::Record &Log;
  std::mutex Mutex;
  std::mt19937_64 Random{34}; ///< Guarded by `Mutex`.
  /// Pieces with wrong bytes by attempt; guarded by `Mutex`.
  std::map<std::string, std::set<int>> Touched;
};

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2) {
    return 2;
  }
  try {
    review::Record Log{Arguments[1]};
    Scene Play{Log};
    Deployment Fleet{Machines, Manifest, Log};
    const bool Trouble = review::troubleWanted();
    for (int I = 0; I < Replicas; ++I) {
      const bool Spoils = Trouble && I < SpoilingReplicas;
      Fleet.addReplica("i-" + std::to_string(I), "llm",
                       [&Play, Spoils](Replica &Self, review::Socket &To,
                                       const Message &Request) {
                         return Play.stream(Self, To, Request, Spoils);
                       });
    }
    if (!Fleet.start()) {
      return 2;
    }
    review::pauseMs(3'000);
    Play.Begin = review::elapsedMs();
    const auto Deadline = Play.Begin + RunMs;
    std::vector<std::thread> Threads;
    Threads.reserve(Clients);
    for (int I = 0; I < Clients; ++I) {
      Threads.emplace_back([&, I] { Play.client(Fleet, I, Deadline); });
    }
    for (auto &Thread : Threads) {
      Thread.join();
    }
    const auto Summary =
        std::to_string(Play.Whole) + " whole, " +
        std::to_string(Play.BrokenOff) + " broken off, " +
        std::to_string(Play.Others) + " other answers, " +
        std::to_string(Play.Spoiled) + " spoiled by replicas, " +
        std::to_string(Play.WithHoles) + " complete with pieces missing";
    Log.line(Summary);
    std::puts(Summary.c_str());
    if (Play.Whole == 0) {
      return 2;
    }
    return Play.WithHoles > 0 ? 1 : 0;
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "%s\n", Failure.what());
    return 2;
  }
}
