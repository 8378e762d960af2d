/// @file
/// Test bed of the second review: real daemons on loopback between the
/// project's stand-ins, callers that count what they get, and a record.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/system_error.hpp>
#include <nlohmann/json.hpp>

#include "../../scenarios/runner/process.hpp"
#include "../../standin/users_replica.hpp"
#include "../../standin/users_store.hpp"
#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/client.hpp"
#include "goldcrestnotch/http/server.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace review {

using goldcrestnotch::DecisionClock;
using goldcrestnotch::Error;
using goldcrestnotch::Instant;
using goldcrestnotch::Millis;
using goldcrestnotch::http::Client;
using goldcrestnotch::http::Endpoint;
using goldcrestnotch::http::Exchange;
using goldcrestnotch::http::Headers;
using goldcrestnotch::http::Request;
using goldcrestnotch::http::Response;
using goldcrestnotch::http::Server;
using nlohmann::json;
using standin::UsersReplica;
using standin::UsersStore;

inline constexpr int ExitHeld = 0;
inline constexpr int ExitBroken = 1;
inline constexpr int ExitNotRun = 2;

/// @brief Whether the script plays the disruption.
[[nodiscard]] inline bool withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string{Value} != "0";
}

inline void pause(int Milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds{Milliseconds});
}

/// @brief What was sent, answered and run, with the time since the start.
class Record {
public:
  explicit Record(const std::string &File) : Out{File} {}

  void line(const std::string &Text) {
    const std::lock_guard Lock{Mutex};
    const auto Passed = DecisionClock::now() - Begin;
    Out << Passed.count() << " ms " << Text << std::endl;
  }

private:
  std::ofstream Out;
  std::mutex Mutex;
  const Instant Begin = DecisionClock::now();
};

/// @brief What to do with one call of a VM to the store.
enum class StoreCallFate : std::uint8_t {
  Pass,
  LoseAnswer, ///< It is done, and its connection returns nothing further.
  Silent,     ///< It does not arrive, and nothing is answered.
};

/// @brief The way of one VM to the store, which passes on calls.
class StoreLink {
public:
  using Decision = std::function<StoreCallFate(const Request &)>;

  StoreLink(boost::asio::io_context &Context, const std::string &Address,
            std::uint16_t StorePort)
      : StorePort{StorePort}, Listener{Context,
                                       Endpoint{Address, 0},
                                       {},
                                       [this](Exchange &Call) { pass(Call); }} {
    Listener.start();
  }

  [[nodiscard]] std::uint16_t port() const { return Listener.port(); }

  /// @brief Sets what is done with the calls from now on.
  void decideBy(Decision Next) {
    const std::lock_guard Lock{Mutex};
    Decide = std::move(Next);
  }

private:
  static constexpr Millis CallTimeout{35'000};
  static constexpr Millis SilenceTime{60'000};

  [[nodiscard]] StoreCallFate fateOf(const Request &Call) {
    const std::lock_guard Lock{Mutex};
    return Decide ? Decide(Call) : StoreCallFate::Pass;
  }

  static void stayAway(Exchange &Call) {
    boost::asio::steady_timer Timer{
        boost::asio::get_associated_executor(Call.yield()), SilenceTime};
    Timer.async_wait(Call.yield());
  }

  void pass(Exchange &Call) {
    const auto Fate = fateOf(Call.request());
    if (Fate == StoreCallFate::Silent) {
      stayAway(Call);
      return;
    }
    Response Answer;
    try {
      Client Store{Call.yield(), Endpoint{"127.0.0.1", StorePort}};
      Answer = Store.send(Call.request(), DecisionClock::now() + CallTimeout);
    } catch (const Error &) { // The store has broken the connection off.
      throw boost::system::system_error{boost::asio::error::connection_reset};
    }
    if (Fate == StoreCallFate::LoseAnswer) {
      stayAway(Call);
      return;
    }
    Call.reply(Answer);
  }

  std::uint16_t StorePort;
  std::mutex Mutex;
  Decision Decide; ///< Guarded by `Mutex`.
  Server Listener;
};

/// @brief A caller's request.
struct Call {
  std::string Method = "POST";
  std::string Path;
  std::string ApiKey = "key-1";
  std::string AttemptId;
  std::string TokenUsage; ///< `INPUT,MAX-OUTPUT` for streams, else empty.
  int DeadlineMs = 5'000;
  std::string PromptParts; ///< `ID:TOKENS` separated by commas, or empty.
  int LeaveAfterMs = 0;    ///< When the caller leaves; at its deadline if zero.
};

/// @brief What a caller got; status zero if no head arrived.
struct CallResult {
  int Status = 0;
  Headers Fields;
  std::string Body;
  bool Complete = false;
};

/// @brief Sends a request and reads the whole response.
[[nodiscard]] inline CallResult send(const Request &Message,
                                     const Endpoint &Address, int TimeoutMs) {
  CallResult Result;
  boost::asio::io_context Local;
  boost::asio::spawn(Local, [&](boost::asio::yield_context Yield) {
    try {
      Client Connection{Yield, Address};
      const auto Deadline = DecisionClock::now() + Millis{TimeoutMs};
      const auto Answer = Connection.open(Message, Deadline);
      Result.Status = Answer->head().Status;
      Result.Fields = Answer->head().Fields;
      while (auto Piece = Answer->read(Deadline)) {
        Result.Body += *Piece;
      }
      Result.Complete = true;
    } catch (const Error &) {
      Result.Complete = false; // The caller of this function looks at it.
    }
  });
  Local.run();
  return Result;
}

/// @brief A small deployment.
class Bed {
public:
  static constexpr const char *Host = "shop.example";
  /// Output tokens of one event.
  static constexpr std::int64_t EventTokens = 6;
  static constexpr int Zones = 3;
  static constexpr std::uint16_t CallerPort = 18'227;
  static constexpr std::uint16_t ReadyPort = 18'220;
  static constexpr std::uint16_t ControlPort = 18'229;
  static constexpr std::uint16_t DirectoryPort = 18'224;
  static constexpr std::uint16_t FirstPeerPort = 17'340;
  static constexpr std::uint16_t LastPeerPort = 17'355;

  Bed(Record &Log, int VmCount, int ReplicaCount, std::int64_t Prepaid)
      : Log{Log}, Folder{std::filesystem::temp_directory_path() /
                         ("review-" + std::to_string(::getpid()))},
        Guard{Context.get_executor()}, Store{Context, {"127.0.0.1", 0}} {
    std::filesystem::create_directories(Folder);
    for (int I = 0; I < VmCount; ++I) {
      checkPorts(I);
      Links.push_back(
          std::make_unique<StoreLink>(Context, "127.0.0.1", Store.port()));
    }
    for (int I = 0; I < ReplicaCount; ++I) {
      Replicas.push_back(std::make_unique<UsersReplica>(
          Context, "i-" + std::to_string(I), Endpoint{"127.0.0.1", 0}));
    }
    for (int I = 0; I < 4; ++I) {
      Threads.emplace_back([this] { Context.run(); });
    }
    publish(1, Prepaid);
    for (const auto &Replica : Replicas) {
      Store.put("keyed.servers", Replica->name(),
                Replica->entry("engines", "ready"));
    }
    Daemons.resize(static_cast<std::size_t>(VmCount));
  }

  ~Bed() {
    Daemons.clear();
    Context.stop();
    for (auto &Thread : Threads) {
      Thread.join();
    }
    std::error_code Ignored; // A temporary folder that stays does no harm.
    std::filesystem::remove_all(Folder, Ignored);
  }
  Bed(const Bed &) = delete;
  Bed &operator=(const Bed &) = delete;

  /// @brief Starts the daemon of a VM with the command of the deploy file.
  void start(int Vm) {
    const auto File = Folder / ("vm-" + std::to_string(Vm) + ".toml");
    std::ofstream{File} << settingsOf(Vm);
    ::setenv("GOLDCRESTNOTCH_SETTINGS", File.c_str(), 1);
    auto &Daemon = Daemons[static_cast<std::size_t>(Vm)];
    Daemon.reset();
    Daemon = std::make_unique<scenario::Process>(
        "target/app/goldcrestnotchd", std::vector<std::string>{"--platform"});
    Log.line("vm-" + std::to_string(Vm) + " started, process " +
             std::to_string(Daemon->id()));
  }
  void kill(int Vm) {
    Log.line("vm-" + std::to_string(Vm) + " killed");
    daemon(Vm).signal(SIGKILL);
    (void)daemon(Vm).wait(2'000);
  }
  /// @brief Waits until a VM is ready.
  /// @throws std::runtime_error if it does not become ready.
  void awaitReady(int Vm) {
    for (int I = 0; I < 500; ++I) {
      if (ready(Vm)) {
        Log.line("vm-" + std::to_string(Vm) + " is ready");
        return;
      }
      pause(20);
    }
    throw std::runtime_error{"vm-" + std::to_string(Vm) + " is not ready"};
  }
  [[nodiscard]] bool ready(int Vm) const {
    Request Question;
    Question.Path = "/api/readiness";
    return send(Question, {address(Vm), ReadyPort}, 1'000).Status == 200;
  }

  /// @brief Sends a caller's request to a VM and records it.
  CallResult call(int Vm, const Call &Params) {
    const auto Result =
        send(requestOf(Params), {address(Vm), CallerPort},
             Params.LeaveAfterMs > 0 ? Params.LeaveAfterMs : Params.DeadlineMs);
    Log.line("vm-" + std::to_string(Vm) + " " + Params.Path + " " +
             Params.AttemptId + " -> " + std::to_string(Result.Status) +
             (Result.Complete ? "" : " (broken off)"));
    return Result;
  }

  /// @brief Records how many requests each replica has run.
  void recordRuns() {
    for (const auto &Replica : Replicas) {
      Log.line(Replica->name() + " ran " + std::to_string(Replica->runs()) +
               " requests");
    }
  }
  /// @brief Writes the outputs of all daemons into a file.
  void saveLogs(const std::string &File) {
    std::ofstream Out{File};
    for (std::size_t I = 0; I < Daemons.size(); ++I) {
      Out << "== vm-" << I << "\n"
          << (Daemons[I] ? Daemons[I]->output() : "") << "\n";
    }
  }

  [[nodiscard]] scenario::Process &daemon(int Vm) {
    return *Daemons[static_cast<std::size_t>(Vm)];
  }
  [[nodiscard]] StoreLink &link(int Vm) {
    return *Links[static_cast<std::size_t>(Vm)];
  }
  [[nodiscard]] boost::asio::io_context &context() noexcept { return Context; }
  [[nodiscard]] UsersReplica &replica(int Number) {
    return *Replicas[static_cast<std::size_t>(Number)];
  }
  [[nodiscard]] static std::string address(int Vm) {
    const auto Process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(20 + Process % 200) + "." +
           std::to_string(Process / 200 % 250) + "." + std::to_string(Vm + 1);
  }

  /// @brief Publishes a manifest with one tenant and a route of each kind.
  void publish(int Version, std::int64_t Prepaid) {
    const auto Route = [](const char *Name, const char *Prefix,
                          const char *Kind, bool Streaming) {
      return json{
          {"name", Name},      {"host", Host},         {"pathPrefix", Prefix},
          {"kind", Kind},      {"timeoutMs", 5'000},   {"sloMs", 400},
          {"priority", 0},     {"service", "engines"}, {"maxAttempts", 2},
          {"public", false},   {"sticky", Streaming},  {"resumable", Streaming},
          {"targetGapMs", 400}};
    };
    const json Config{
        {"version", Version},
        {"routes",
         {Route("chat", "/chat/", "streaming", true),
          Route("order", "/order/", "non_idempotent", false),
          Route("stock", "/stock/", "idempotent", false)}},
        {"services",
         {{{"name", "engines"},
           {"healthPath", "/health"},
           {"maxConns", 370},
           {"engine",
            {{"capacity", 64},
             {"kvCapacity", 711'700},
             {"stride", EventTokens}}}}}},
        {"limits",
         {{"maxHeaderBytes", 16'384},
          {"maxBodyBytes", 100'000},
          {"headerTimeoutMs", 3'000},
          {"idleTimeoutMs", 15'000}}},
        {"tenants",
         {{{"name", "stall"}, {"apiKeys", {"key-1"}}, {"prepaid", Prepaid}}}}};
    Store.put("keyed.op", "config", Config.dump());
  }

private:
  Record &Log;
  std::filesystem::path Folder;
  /// Never destroyed: its destruction would unwind suspended coroutines into
  /// members that are gone.
  boost::asio::io_context &Context = *new boost::asio::io_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;

public:
  UsersStore Store;

private:
  /// @brief Fails unless the fixed ports of a VM are free at its address.
  static void checkPorts(int Vm) {
    boost::asio::io_context Local;
    const auto Ip = boost::asio::ip::make_address(address(Vm));
    for (const auto Port : {CallerPort, ReadyPort, ControlPort, DirectoryPort,
                            static_cast<std::uint16_t>(FirstPeerPort + 3)}) {
      const boost::asio::ip::tcp::acceptor Probe{Local, {Ip, Port}};
    }
    for (std::uint16_t I = 0; I < 3; ++I) {
      const boost::asio::ip::udp::socket Probe{
          Local, {Ip, static_cast<std::uint16_t>(FirstPeerPort + I)}};
    }
  }

  [[nodiscard]] static Request requestOf(const Call &Params) {
    Request Message;
    Message.Method = Params.Method;
    Message.Path = Params.Path;
    Message.Fields["Host"] = Host;
    Message.Fields["X-Goldcrestnotch-Attempt-Id"] = Params.AttemptId;
    Message.Fields["X-Goldcrestnotch-Deadline-Ms"] =
        std::to_string(Params.DeadlineMs);
    Message.Fields["Authorization"] = "Bearer " + Params.ApiKey;
    if (!Params.TokenUsage.empty()) {
      Message.Fields["X-Goldcrestnotch-Token-Usage"] = Params.TokenUsage;
      Message.Fields["X-Goldcrestnotch-Model"] = "m";
    }
    if (!Params.PromptParts.empty()) {
      Message.Fields["X-Goldcrestnotch-Prompt-Prefix"] = Params.PromptParts;
    }
    return Message;
  }

  [[nodiscard]] std::string settingsOf(int Vm) const {
    const auto At = [&](std::uint16_t Port) {
      return "\"" + address(Vm) + ":" + std::to_string(Port) + "\"\n";
    };
    const auto Zone =
        std::string{"zone-"} + static_cast<char>('a' + Vm % Zones);
    return "nodeName = \"vm-" + std::to_string(Vm) +
           "\"\nrole = \"edge\"\nmachineClass = \"front\"\n"
           "serves = [\"front\",\"control\",\"directory\"]\nip = \"" +
           address(Vm) + "\"\nzone = \"" + Zone +
           "\"\nregion = \"here\"\nportRange = [" +
           std::to_string(FirstPeerPort) + "," + std::to_string(LastPeerPort) +
           "]\nseeds = [\"" + address(0) + ":" + std::to_string(ControlPort) +
           "\"]\nbootstrap = true\ndiscovery = \"platform\"\n"
           "entry = \"directory\"\nheartbeatMs = 1200\n[listenAddrs]\nfront "
           "= " +
           At(CallerPort) + "ready = " + At(ReadyPort) +
           "control = " + At(ControlPort) + "directory = " + At(DirectoryPort) +
           "[limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = 260\n"
           "maxFds = 4100\nlinkMbps = 1000.0\n[bounds]\nseedLagS = 3\n"
           "reuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\n"
           "drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\n"
           "configApplyMs = 2000\nrollbackSlackMs = 250\n"
           "maxStretchMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n"
           "retryBudgetSlack = 58\nexposureShare = 0.1\nexposureSlack = 50\n"
           "rollbackMs = 5000\nrecoveryS = 12\neventDelayMs = 120\n"
           "retryAfterS = 10\nsettle_ms = 1500\nttl_max_s = 5\n"
           "[platform]\naddress = \"127.0.0.1:" +
           std::to_string(Links[static_cast<std::size_t>(Vm)]->port()) +
           "\"\nform = \"log\"\nwritesPerS = 800\nreadsPerS = 2000\n"
           "parts = 12\nappendMs = 2.0\nkeep_s = 300\n";
  }

  std::vector<std::unique_ptr<StoreLink>> Links;
  std::vector<std::unique_ptr<UsersReplica>> Replicas;
  std::vector<std::unique_ptr<scenario::Process>> Daemons;
  std::vector<std::thread> Threads;
};

/// @brief Counts what a tenant's callers got, as the platform's page says:
/// input tokens once for each request, and output tokens that were delivered.
class Consumption {
public:
  void add(std::int64_t Input, const CallResult &Result) {
    std::int64_t Events = 0;
    for (auto At = Result.Body.find("id: "); At != std::string::npos;
         At = Result.Body.find("id: ", At + 1)) {
      ++Events;
    }
    if (Result.Status == 200 && Events > 0) {
      Sum += Input + Events * Bed::EventTokens;
    }
  }
  [[nodiscard]] std::int64_t tokens() const noexcept { return Sum; }

private:
  std::int64_t Sum = 0;
};

/// @brief Runs a case and turns exceptions into the exit code.
inline int runCase(const std::function<int()> &Body) {
  try {
    goldcrestnotch::startLogging(goldcrestnotch::LogLevel::Error, "bed",
                                 goldcrestnotch::LogSink::StandardError);
    return Body();
  } catch (const std::exception &Failure) {
    std::cerr << "the case could not run: " << Failure.what() << '\n';
    return ExitNotRun;
  }
}

} // namespace review
