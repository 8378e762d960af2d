/// @file
/// Real daemons on loopback between a stand-in store, stand-in replicas and
/// callers.

#pragma once

#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <nlohmann/json.hpp>

#include "faulty_link.hpp"
#include "goldcrestnotch/core/error.hpp"
#include "goldcrestnotch/http/client.hpp"
#include "process.hpp"
#include "users_replica.hpp"
#include "users_store.hpp"

namespace platform_test {

using namespace goldcrestnotch;
using nlohmann::json;
using standin::UsersReplica;

/// The whole answer of a replica to a chat.
inline const std::string WholeStream =
    "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
    "id: 4\ndata: e4\n\nid: 5\ndata: e5\n\n";

/// @brief What a caller sends.
struct Call {
  std::string Path = "/chat/1";
  std::string Key = "key-1";
  std::string Id = "a1";
  std::string Usage; ///< `INPUT,MOST-OUTPUT`, for streams.
  std::string DeadlineMs = "5000";
};

/// @brief What a caller got; status zero for a connection that failed.
struct Got {
  int Status = 0;
  http::Headers Fields;
  std::string Body;
  bool Whole = false;
};

/// @brief A fleet of daemons; ends them when destroyed.
class Fleet {
public:
  static constexpr const char *Host = "shop.example";
  /// Output tokens in one event of a chat.
  static constexpr std::int64_t EventTokens = 6;

  explicit Fleet(int Replicas = 2, int Vms = 1,
                 std::int64_t Prepaid = 1'000'000)
      : Guard{Context.get_executor()}, Store{Context, {"127.0.0.1", 0}},
        StoreWay{Context, Store.port()} {
    for (int I = 0; I < Replicas; ++I) {
      Engines.push_back(std::make_unique<UsersReplica>(
          Context, "i-" + std::to_string(I), http::Endpoint{"127.0.0.1", 0}));
      Ways.push_back(std::make_unique<standin::FaultyLink>(
          Context, Engines.back()->port()));
      Engines.back()->setAdvertisedPort(Ways.back()->port());
    }
    for (int I = 0; I < 2; ++I) {
      Threads.emplace_back([this] { Context.run(); });
    }
    publish(1, Prepaid);
    for (const auto &One : Engines) {
      state(*One, "ready");
    }
    Daemons.resize(static_cast<std::size_t>(Vms));
    for (int I = 0; I < Vms; ++I) {
      start(I);
    }
  }

  ~Fleet() {
    Daemons.clear();
    Context.stop();
    for (auto &One : Threads) {
      One.join();
    }
  }
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// @brief Publishes a configuration.
  void publish(int Version, std::int64_t Prepaid,
               const std::vector<std::string> &Keys = {"key-1"}) {
    const auto Route = [](const char *Name, const char *Prefix,
                          const char *Kind, bool Resumable) {
      return json{
          {"name", Name},      {"host", Host},         {"pathPrefix", Prefix},
          {"kind", Kind},      {"timeoutMs", 4'000},   {"sloMs", 400},
          {"priority", 0},     {"service", "engines"}, {"maxAttempts", 2},
          {"public", false},   {"sticky", true},       {"resumable", Resumable},
          {"targetGapMs", 400}};
    };
    const json Whole{
        {"version", Version},
        {"routes",
         {Route("chat", "/chat/", "streaming", true),
          Route("order", "/order/", "non_idempotent", false),
          Route("stock", "/stock/", "idempotent", false)}},
        {"services",
         {{{"name", "engines"},
           {"healthPath", "/health"},
           {"maxConns", 100},
           {"engine",
            {{"capacity", 8},
             {"kvCapacity", 90'000},
             {"stride", EventTokens}}}}}},
        {"limits",
         {{"maxHeaderBytes", 16'384},
          {"maxBodyBytes", 100'000},
          {"headerTimeoutMs", 3'000},
          {"idleTimeoutMs", 15'000}}},
        {"tenants",
         {{{"name", "stall"}, {"apiKeys", Keys}, {"prepaid", Prepaid}}}}};
    Store.put("keyed.op", "config", Whole.dump());
  }
  /// @brief Registers a replica.
  void state(const UsersReplica &One, const std::string &State) {
    Store.put("keyed.servers", One.name(), One.entry("engines", State));
  }
  /// @brief Count of replicas.
  [[nodiscard]] int engines() const noexcept {
    return static_cast<int>(Engines.size());
  }
  [[nodiscard]] UsersReplica &engine(int Number) {
    return *Engines[static_cast<std::size_t>(Number)];
  }
  /// @brief The way from the daemons to a replica.
  [[nodiscard]] standin::FaultyLink &way(int Number) {
    return *Ways[static_cast<std::size_t>(Number)];
  }
  [[nodiscard]] std::uint64_t runs() const {
    std::uint64_t Sum = 0;
    for (const auto &One : Engines) {
      Sum += One->runs();
    }
    return Sum;
  }
  /// @brief How often the request of an attempt was run, by all replicas.
  [[nodiscard]] int runsOf(const std::string &Attempt) const {
    int Sum = 0;
    for (const auto &One : Engines) {
      Sum += One->runsOf(Attempt);
    }
    return Sum;
  }
  [[nodiscard]] scenario::Process &daemon(int Vm = 0) {
    return *Daemons[static_cast<std::size_t>(Vm)];
  }

  /// @brief Starts a daemon, in place of one that has ended.
  void start(int Vm) {
    const auto File = std::filesystem::temp_directory_path() /
                      ("goldcrestnotch-" + std::to_string(::getpid()) + "-" +
                       std::to_string(Vm) + ".toml");
    std::ofstream{File} << settings(Vm);
    ::setenv("GOLDCRESTNOTCH_SETTINGS", File.c_str(), 1);
    auto &At = Daemons[static_cast<std::size_t>(Vm)];
    At.reset();
    At = std::make_unique<scenario::Process>(
        GOLDCRESTNOTCHD, std::vector<std::string>{"--platform"});
  }

  /// @brief Sends a request and reads the whole answer.
  [[nodiscard]] Got call(const Call &What, int Vm = 0) {
    return send(requestOf(What), {address(Vm), CallerPort});
  }
  /// @brief Sends a request and closes the connection after a while.
  void leave(const Call &What, int AfterMillis, int Vm = 0) {
    (void)send(requestOf(What), {address(Vm), CallerPort}, AfterMillis);
  }
  /// @brief Asks a small server of a daemon.
  [[nodiscard]] Got ask(std::uint16_t Port, const std::string &Path,
                        int Vm = 0) {
    http::Request Asked;
    Asked.Path = Path;
    return send(Asked, {address(Vm), Port});
  }
  /// @brief Waits until a check holds.
  template <typename Check>
  [[nodiscard]] bool eventually(Check Holds, int Millis = 5'000) {
    for (int Waited = 0; Waited < Millis; Waited += 20) {
      if (Holds()) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    return Holds();
  }
  /// @brief Waits until a daemon takes callers.
  [[nodiscard]] bool ready(int Vm = 0) {
    return eventually(
        [&] { return ask(ReadyPort, "/api/readiness", Vm).Status == 200; });
  }

  static constexpr std::uint16_t CallerPort = 18'227;
  static constexpr std::uint16_t ReadyPort = 18'220;
  static constexpr std::uint16_t DirectoryPort = 18'224;
  static constexpr std::uint16_t ControlPort = 18'229;

  /// Never destroyed: coroutines that are suspended at a test's end would
  /// unwind into parts that are gone.
  boost::asio::io_context &Context = *new boost::asio::io_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;
  standin::UsersStore Store;
  standin::FaultyLink StoreWay; ///< The way from the daemons to the store.

private:
  /// Each VM has a loopback address of its own; runs side by side differ.
  [[nodiscard]] static std::string address(int Vm) {
    const auto Process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(20 + Process % 200) + "." +
           std::to_string(Process / 200 % 250) + "." + std::to_string(Vm + 1);
  }

  [[nodiscard]] std::string settings(int Vm) const {
    const auto At = [&](std::uint16_t Port) {
      return "\"" + address(Vm) + ":" + std::to_string(Port) + "\"\n";
    };
    return "nodeName = \"vm-" + std::to_string(Vm) + "\"\nip = \"" +
           address(Vm) + "\"\nzone = \"zone-a\"\nportRange = [17340, 17355]\n" +
           "seeds = [\"" + address(0) + ":" + std::to_string(ControlPort) +
           "\"]\nheartbeatMs = 1200\n[listenAddrs]\nfront = " + At(CallerPort) +
           "ready = " + At(ReadyPort) + "control = " + At(ControlPort) +
           "directory = " + At(DirectoryPort) +
           "[bounds]\ngraceS = 4\ndrainMs = 2000\nttl_max_s = 1\n" +
           "[platform]\naddress = \"127.0.0.1:" +
           std::to_string(StoreWay.port()) + "\"\n";
  }

  [[nodiscard]] static http::Request requestOf(const Call &What) {
    http::Request Asked;
    Asked.Method = What.Path.starts_with("/stock") ? "GET" : "POST";
    Asked.Path = What.Path;
    Asked.Fields["Host"] = Host;
    Asked.Fields["X-Goldcrestnotch-Attempt-Id"] = What.Id;
    Asked.Fields["X-Goldcrestnotch-Deadline-Ms"] = What.DeadlineMs;
    Asked.Fields["Authorization"] = "Bearer " + What.Key;
    Asked.Fields["X-Goldcrestnotch-Tenant"] = "forged";
    if (!What.Usage.empty()) {
      Asked.Fields["X-Goldcrestnotch-Token-Usage"] = What.Usage;
    }
    return Asked;
  }

  [[nodiscard]] Got send(const http::Request &Asked,
                         const http::Endpoint &Where,
                         int PatienceMillis = 8'000) {
    Got Result;
    boost::asio::io_context Own;
    boost::asio::spawn(Own, [&](boost::asio::yield_context Yield) {
      try {
        http::Client Link{Yield, Where};
        const auto Until = DecisionClock::now() + Millis{PatienceMillis};
        const auto Opened = Link.open(Asked, Until);
        Result.Status = Opened->head().Status;
        Result.Fields = Opened->head().Fields;
        while (auto Piece = Opened->read(Until)) {
          Result.Body += *Piece;
        }
        Result.Whole = true;
      } catch (const Error &) {
        Result.Whole = false; // Judged by the test.
      }
    });
    Own.run();
    return Result;
  }

  std::vector<std::unique_ptr<UsersReplica>> Engines;
  std::vector<std::unique_ptr<standin::FaultyLink>> Ways; ///< One an engine.
  std::vector<std::unique_ptr<scenario::Process>> Daemons;
  std::vector<std::thread> Threads;
};

} // namespace platform_test
