/// @file
/// A small deployment on loopback: the platform's store, and the project's
/// daemons as separate processes, each with a settings file of its own.

#pragma once

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <nlohmann/json.hpp>

#include "../../scenarios/runner/process.hpp"
#include "../../standin/faulty_link.hpp"
#include "../../standin/users_store.hpp"
#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/client.hpp"

namespace review {

using namespace goldcrestnotch;
using nlohmann::json;

/// @brief What a consumer got; status zero if no head arrived.
struct Answer {
  int Status = 0;
  http::Headers Fields;
  std::string Body;
  bool Complete = false;
};

/// @brief Starts the machines, and ends them when destroyed.
class Machines {
public:
  static constexpr const char *Host = "ficu95.example";
  static constexpr const char *Key = "n2ctnfzs989anu6wsjnb";
  static constexpr std::uint16_t FrontPort = 18'227;
  static constexpr std::uint16_t ReadyPort = 18'220;
  static constexpr std::uint16_t DirectoryPort = 18'224;
  static constexpr std::uint16_t ControlPort = 18'229;
  static constexpr std::uint16_t FirstPort = 17'340;
  static constexpr int GraceS = 8;

  explicit Machines(int Count)
      : WorkGuard{Context.get_executor()}, Store{Context, {"127.0.0.1", 0}} {
    for (int I = 0; I < Count; ++I) {
      StoreLinks.push_back(
          std::make_unique<standin::FaultyLink>(Context, Store.port()));
    }
    for (int I = 0; I < ContextThreads; ++I) {
      Threads.emplace_back([this] { Context.run(); });
    }
    Daemons.resize(static_cast<std::size_t>(Count));
  }
  ~Machines() {
    Daemons.clear();
    Context.stop();
    for (auto &Thread : Threads) {
      Thread.join();
    }
  }
  Machines(const Machines &) = delete;
  Machines &operator=(const Machines &) = delete;

  /// @brief A route for a manifest.
  [[nodiscard]] static json route(const std::string &Prefix,
                                  const std::string &Kind,
                                  const std::string &Service,
                                  int MaxAttempts = 2) {
    return json{{"name", "r" + std::to_string(Prefix.size()) +
                             Prefix.substr(1, Prefix.size() - 2)},
                {"host", Host},
                {"pathPrefix", Prefix},
                {"kind", Kind},
                {"timeoutMs", 4'000},
                {"sloMs", 400},
                {"priority", 0},
                {"service", Service},
                {"maxAttempts", MaxAttempts},
                {"public", false},
                {"sticky", Kind == "streaming"},
                {"resumable", Kind == "streaming"},
                {"targetGapMs", 400}};
  }
  /// @brief A manifest with one tenant.
  /// @param Prepaid Tokens of the tenant; zero for no limit.
  [[nodiscard]] static json manifest(int Version, const json &Routes,
                                     std::int64_t Prepaid = 0) {
    json Result{{"version", Version},
                {"routes", Routes},
                {"services", json::array()},
                {"limits",
                 {{"maxHeaderBytes", 16'384},
                  {"maxBodyBytes", 100'000},
                  {"headerTimeoutMs", 3'000},
                  {"idleTimeoutMs", 15'000}}},
                {"tenants", {{{"name", "hule930"}, {"apiKeys", {Key}}}}}};
    for (const auto &Route : Routes) {
      Result["services"].push_back(
          {{"name", Route.at("service")},
           {"healthPath", "/health"},
           {"maxConns", 100},
           {"engine",
            {{"capacity", 64}, {"kvCapacity", 711'700}, {"stride", 6}}}});
    }
    if (Prepaid > 0) {
      Result["tenants"][0]["prepaid"] = Prepaid;
    }
    return Result;
  }
  void publish(const json &Manifest) {
    Store.put("keyed.op", "config", Manifest.dump());
  }

  /// @brief Starts the daemon of a machine, with the command of the deploy
  /// file.
  void start(int Machine) {
    const auto File = settingsFile(Machine);
    std::ofstream{File} << settingsOf(Machine);
    ::setenv("GOLDCRESTNOTCH_SETTINGS", File.c_str(), 1);
    auto &Daemon = Daemons[static_cast<std::size_t>(Machine)];
    Daemon.reset();
    Daemon = std::make_unique<scenario::Process>(
        "target/app/goldcrestnotchd", std::vector<std::string>{"--platform"});
  }
  void startAll() {
    for (std::size_t I = 0; I < Daemons.size(); ++I) {
      start(static_cast<int>(I));
    }
  }
  [[nodiscard]] scenario::Process &daemon(int Machine) {
    return *Daemons[static_cast<std::size_t>(Machine)];
  }
  /// @brief The path between a machine and the store.
  [[nodiscard]] standin::FaultyLink &storeLink(int Machine) {
    return *StoreLinks[static_cast<std::size_t>(Machine)];
  }
  /// @brief Waits until all machines say that they are ready.
  [[nodiscard]] bool allReady() {
    for (std::size_t I = 0; I < Daemons.size(); ++I) {
      if (!ready(static_cast<int>(I))) {
        return false;
      }
    }
    return true;
  }
  /// @brief Waits until a machine says that it is ready.
  [[nodiscard]] bool ready(int Machine) {
    http::Request Question;
    Question.Path = "/api/readiness";
    for (int Waited = 0; Waited < ReadyTimeoutMs; Waited += ReadyIntervalMs) {
      if (send(Question, {address(Machine), ReadyPort}, 1'000).Status == 200) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds{ReadyIntervalMs});
    }
    return false;
  }

  /// @brief Sends a request on a new connection and reads the answer.
  [[nodiscard]] static Answer send(const http::Request &Request,
                                   const http::Endpoint &To, int TimeoutMs) {
    Answer Result;
    boost::asio::io_context Loop;
    boost::asio::spawn(Loop, [&](boost::asio::yield_context Yield) {
      try {
        http::Client Client{Yield, To};
        const auto Deadline = DecisionClock::now() + Millis{TimeoutMs};
        const auto Response = Client.open(Request, Deadline);
        Result.Status = Response->head().Status;
        Result.Fields = Response->head().Fields;
        while (auto Piece = Response->read(Deadline)) {
          Result.Body += *Piece;
        }
        Result.Complete = true;
      } catch (const Error &) {
        Result.Complete = false; // Seen by the case.
      }
    });
    Loop.run();
    return Result;
  }
  /// @brief A request of the tenant.
  [[nodiscard]] static http::Request request(const std::string &Method,
                                             const std::string &Path,
                                             const std::string &Attempt,
                                             int DeadlineMs) {
    http::Request Result;
    Result.Method = Method;
    Result.Path = Path;
    Result.Fields["Host"] = Host;
    Result.Fields["X-Goldcrestnotch-Attempt-Id"] = Attempt;
    Result.Fields["X-Goldcrestnotch-Deadline-Ms"] = std::to_string(DeadlineMs);
    Result.Fields["Authorization"] = std::string{"Bearer "} + Key;
    return Result;
  }
  /// @brief Where consumers reach a machine.
  [[nodiscard]] static http::Endpoint front(int Machine) {
    return {address(Machine), FrontPort};
  }
  /// @brief Address of a machine on loopback. The process id is part of it, so
  /// that runs beside each other use different ones.
  [[nodiscard]] static std::string address(int Machine) {
    const auto Id = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(20 + Id % 200) + "." +
           std::to_string(Id / 200 % 250) + "." + std::to_string(Machine + 1);
  }

  /// Never destroyed: that would unwind coroutines that are still suspended.
  boost::asio::io_context &Context = *new boost::asio::io_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      WorkGuard;
  standin::UsersStore Store;

private:
  static constexpr int ContextThreads = 2;
  static constexpr int ReadyTimeoutMs = 10'000;
  static constexpr int ReadyIntervalMs = 50;

  [[nodiscard]] static std::filesystem::path settingsFile(int Machine) {
    return std::filesystem::temp_directory_path() /
           ("machine-" + std::to_string(::getpid()) + "-" +
            std::to_string(Machine) + ".toml");
  }
  [[nodiscard]] std::string settingsOf(int Machine) const {
    const auto At = [&](std::uint16_t Port) {
      return "\"" + address(Machine) + ":" + std::to_string(Port) + "\"\n";
    };
    const auto Seed = "\"" + address(0) + ":" + std::to_string(ControlPort);
    return "nodeName = \"front-" + std::to_string(Machine) +
           "\"\nrole = \"edge\"\nmachineClass = \"front\"\n"
           "serves = [\"front\",\"control\",\"directory\"]\nip = \"" +
           address(Machine) + "\"\nzone = \"zone-a\"\nregion = \"dakar\"\n" +
           "portRange = [" + std::to_string(FirstPort) + "," +
           std::to_string(FirstPort + 15) + "]\nseeds = [" + Seed +
           "\"]\nheartbeatMs = 1200\n[listenAddrs]\nfront = " + At(FrontPort) +
           "ready = " + At(ReadyPort) + "control = " + At(ControlPort) +
           "directory = " + At(DirectoryPort) +
           "[limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = 260\n"
           "maxFds = 4100\nlinkMbps = 1000.0\n"
           "[bounds]\ncontactMs = 3000\ndrainMs = 2000\ngraceS = " +
           std::to_string(GraceS) +
           "\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n"
           "retryBudgetRatio = 0.2\nbudgetWindowS = 10\n"
           "retryBudgetSlack = 58\nexposureShare = 0.1\nttl_max_s = 5\n"
           "[platform]\nform = \"log\"\nwritesPerS = 800\nreadsPerS = 2000\n"
           "parts = 12\naddress = \"127.0.0.1:" +
           std::to_string(
               StoreLinks[static_cast<std::size_t>(Machine)]->port()) +
           "\"\n";
  }

  std::vector<std::unique_ptr<standin::FaultyLink>> StoreLinks;
  std::vector<std::unique_ptr<scenario::Process>> Daemons;
  std::vector<std::thread> Threads;
};

} // namespace review
