/// @file
/// Test fixture that runs real daemons on loopback between a stand-in store,
/// stand-in replicas and callers.

#pragma once

#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
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

/// Complete response body of a replica to a chat request.
inline const std::string CompleteStream =
    "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
    "id: 4\ndata: e4\n\nid: 5\ndata: e5\n\n";

/// @brief Parameters of a caller's request.
struct Call {
  std::string Path = "/chat/1";
  std::string ApiKey = "key-1";
  std::string AttemptId = "a1";
  std::string TokenUsage; ///< `INPUT,MAX-OUTPUT` for streams, else empty.
  std::string DeadlineMs = "5000";
  std::string PromptParts; ///< `ID:TOKENS` separated by commas, or empty.
};

/// @brief Result of a request; status zero if no response head arrived.
struct CallResult {
  int Status = 0;
  http::Headers Fields;
  std::string Body;
  bool Complete = false;
};

/// @brief Starts a fleet of daemons and stops it on destruction.
class Fleet {
public:
  static constexpr const char *Host = "shop.example";
  /// A workspace without a prepaid budget.
  static constexpr std::int64_t Unlimited = 0;
  /// Output tokens of one event of a chat stream.
  static constexpr std::int64_t EventTokens = 6;

  /// @param GraceSeconds Time between SIGTERM and the kill, as the daemons are
  /// told.
  explicit Fleet(int ReplicaCount = 2, int VmCount = 1,
                 std::int64_t PrepaidTokens = 1'000'000, int GraceSeconds = 4)
      : GraceSeconds{GraceSeconds}, WorkGuard{Context.get_executor()},
        Store{Context, {"127.0.0.1", 0}}, StoreLink{Context, Store.port()} {
    for (int I = 0; I < ReplicaCount; ++I) {
      Replicas.push_back(std::make_unique<UsersReplica>(
          Context, "i-" + std::to_string(I), http::Endpoint{"127.0.0.1", 0}));
      ReplicaLinks.push_back(std::make_unique<standin::FaultyLink>(
          Context, Replicas.back()->port()));
      Replicas.back()->setAdvertisedPort(ReplicaLinks.back()->port());
    }
    for (int I = 0; I < VmCount; ++I) {
      VmStoreLinks.push_back(
          std::make_unique<standin::FaultyLink>(Context, StoreLink.port()));
    }
    for (int I = 0; I < 2; ++I) {
      Threads.emplace_back([this] { Context.run(); });
    }
    publish(1, PrepaidTokens);
    for (const auto &Replica : Replicas) {
      registerReplica(*Replica, "ready");
    }
    Daemons.resize(static_cast<std::size_t>(VmCount));
    for (int I = 0; I < VmCount; ++I) {
      start(I);
    }
  }

  ~Fleet() {
    Daemons.clear();
    Context.stop();
    for (auto &Thread : Threads) {
      Thread.join();
    }
  }
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// @brief Publishes a configuration with one workspace and a route of each
  /// kind: `/chat/` may be resumed once, `/long/` three times, `/once/` never.
  /// @param MoreRoutes Number of further routes `/more-NUMBER/`.
  void publish(int Version, std::int64_t PrepaidTokens,
               const std::vector<std::string> &Keys = {"key-1"},
               int MoreRoutes = 0) {
    const auto Route = [this](const char *Name, const char *Prefix,
                              const char *Kind, bool Resumable,
                              int MaxAttempts = 2) {
      return json{{"name", Name},
                  {"host", Host},
                  {"pathPrefix", Prefix},
                  {"kind", Kind},
                  {"timeoutMs", RouteTimeoutMs},
                  {"sloMs", 400},
                  {"priority", 0},
                  {"service", "engines"},
                  {"maxAttempts", MaxAttempts},
                  {"public", false},
                  {"sticky", true},
                  {"resumable", Resumable},
                  {"targetGapMs", 400}};
    };
    json Config{{"version", Version},
                {"routes",
                 {Route("chat", "/chat/", "streaming", true),
                  Route("long", "/long/", "streaming", true, 4),
                  Route("once", "/once/", "streaming", false),
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
                  {"idleTimeoutMs", IdleTimeoutMs}}},
                {"tenants", {{{"name", "stall"}, {"apiKeys", Keys}}}}};
    if (PrepaidTokens != Unlimited) {
      Config["tenants"][0]["prepaid"] = PrepaidTokens;
    }
    for (int I = 0; I < MoreRoutes; ++I) {
      const auto Name = "more-" + std::to_string(I);
      Config["routes"].push_back(Route(Name.c_str(), ("/" + Name + "/").c_str(),
                                       "non_idempotent", false));
    }
    Store.put("keyed.op", "config", Config.dump());
  }
  /// @brief Writes the registry record of a replica with a state.
  void registerReplica(const UsersReplica &Replica, const std::string &State) {
    Store.put("keyed.servers", Replica.name(), Replica.entry("engines", State));
  }
  /// @brief Returns the number of replicas.
  [[nodiscard]] int replicaCount() const noexcept {
    return static_cast<int>(Replicas.size());
  }
  [[nodiscard]] UsersReplica &replica(int Number) {
    return *Replicas[static_cast<std::size_t>(Number)];
  }
  /// @brief Returns the proxy between the daemons and a replica.
  [[nodiscard]] standin::FaultyLink &replicaLink(int Number) {
    return *ReplicaLinks[static_cast<std::size_t>(Number)];
  }
  /// @brief Returns the proxy between the daemon of a VM and the store.
  [[nodiscard]] standin::FaultyLink &vmStoreLink(int Vm) {
    return *VmStoreLinks[static_cast<std::size_t>(Vm)];
  }
  [[nodiscard]] std::uint64_t runs() const {
    std::uint64_t Sum = 0;
    for (const auto &Replica : Replicas) {
      Sum += Replica->runs();
    }
    return Sum;
  }
  /// @brief Returns how often all replicas together executed the request of an
  /// attempt.
  [[nodiscard]] int runsOf(const std::string &Attempt) const {
    int Sum = 0;
    for (const auto &Replica : Replicas) {
      Sum += Replica->runsOf(Attempt);
    }
    return Sum;
  }
  [[nodiscard]] scenario::Process &daemon(int Vm = 0) {
    return *Daemons[static_cast<std::size_t>(Vm)];
  }

  /// @brief Starts the daemon of a VM; replaces one that has ended.
  void start(int Vm) {
    writeSettings(Vm);
    startProcess(Vm);
  }
  /// @brief Writes the settings file of a VM, or only the first part of it.
  void writeSettings(int Vm, std::size_t MaxBytes = std::string::npos) const {
    std::ofstream{settingsFile(Vm)} << settingsOf(Vm).substr(0, MaxBytes);
  }
  /// @brief Starts the daemon of a VM with the settings file as it is.
  void startProcess(int Vm) {
    const auto File = settingsFile(Vm);
    ::setenv("GOLDCRESTNOTCH_SETTINGS", File.c_str(), 1);
    auto &Daemon = Daemons[static_cast<std::size_t>(Vm)];
    Daemon.reset();
    Daemon = std::make_unique<scenario::Process>(
        Program, std::vector<std::string>{"--platform"});
  }

  /// @brief Sends a request and reads the complete response.
  [[nodiscard]] CallResult call(const Call &Params, int Vm = 0) {
    return send(makeRequest(Params), {address(Vm), CallerPort});
  }
  /// @brief Sends a request and returns all bytes of the response as they were
  /// on the connection.
  [[nodiscard]] std::string callRaw(const Call &Params, int Vm = 0) {
    const auto Request = makeRequest(Params);
    boost::asio::ip::tcp::iostream Connection{address(Vm),
                                              std::to_string(CallerPort)};
    Connection << Request.Method << ' ' << Request.Path << " HTTP/1.1\r\n";
    for (const auto &[Name, Value] : Request.Fields) {
      Connection << Name << ": " << Value << "\r\n";
    }
    Connection << "Content-Length: 0\r\nConnection: close\r\n\r\n"
               << std::flush;
    return {std::istreambuf_iterator<char>{Connection},
            std::istreambuf_iterator<char>{}};
  }
  /// @brief Sends a request and closes the connection after a timeout.
  void callAndDisconnect(const Call &Params, int TimeoutMillis, int Vm = 0) {
    (void)send(makeRequest(Params), {address(Vm), CallerPort}, TimeoutMillis);
  }
  /// @brief Sends a GET request to a readiness, directory or control port of a
  /// daemon.
  [[nodiscard]] CallResult get(std::uint16_t Port, const std::string &Path,
                               int Vm = 0) {
    http::Request Request;
    Request.Path = Path;
    return send(Request, {address(Vm), Port});
  }
  /// @brief Returns the last log line of a daemon about an event, or an empty
  /// text.
  [[nodiscard]] std::string lineOf(const std::string &Event, int Vm = 0) {
    const auto Output = daemon(Vm).output();
    const auto Found = Output.rfind("\"event\":\"" + Event + "\"");
    if (Found == std::string::npos) {
      return {};
    }
    const auto Begin = Output.rfind('\n', Found) + 1;
    return Output.substr(Begin, Output.find('\n', Found) - Begin);
  }
  /// @brief Polls a condition until it holds or a timeout expires.
  /// @return Whether the condition holds.
  template <typename Predicate>
  [[nodiscard]] bool eventually(Predicate Condition, int Millis = 5'000) {
    for (int WaitedMillis = 0; WaitedMillis < Millis; WaitedMillis += 20) {
      if (Condition()) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    return Condition();
  }
  /// @brief Waits until a daemon reports that it is ready for callers.
  [[nodiscard]] bool waitUntilReady(int Vm = 0) {
    return eventually(
        [&] { return get(ReadyPort, "/api/readiness", Vm).Status == 200; });
  }

  static constexpr std::uint16_t CallerPort = 18'227;
  static constexpr std::uint16_t ReadyPort = 18'220;
  static constexpr std::uint16_t DirectoryPort = 18'224;
  static constexpr std::uint16_t ControlPort = 18'229;
  /// First of the ports for datagrams between VMs.
  static constexpr std::uint16_t FirstPeerPort = 17'340;

  /// The daemon that is started next; that of another build for upgrades.
  std::string Program = GOLDCRESTNOTCHD;
  const int GraceSeconds;     ///< Time between SIGTERM and the kill.
  int RouteTimeoutMs = 4'000; ///< Of all routes, from the next version on.
  int IdleTimeoutMs = 15'000; ///< Of callers, from the next version on.
  /// Never destroyed: its destruction would unwind coroutines that are still
  /// suspended at the end of a test, and these refer to destroyed members.
  boost::asio::io_context &Context = *new boost::asio::io_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      WorkGuard;
  standin::UsersStore Store;
  standin::FaultyLink StoreLink; ///< Proxy between the daemons and the store.

  /// @brief Address of a VM on loopback. The process id is part of it, so that
  /// concurrent test runs use different addresses.
  [[nodiscard]] static std::string address(int Vm) {
    const auto Process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(20 + Process % 200) + "." +
           std::to_string(Process / 200 % 250) + "." + std::to_string(Vm + 1);
  }

private:
  [[nodiscard]] static std::filesystem::path settingsFile(int Vm) {
    return std::filesystem::temp_directory_path() /
           ("goldcrestnotch-" + std::to_string(::getpid()) + "-" +
            std::to_string(Vm) + ".toml");
  }

  [[nodiscard]] std::string settingsOf(int Vm) const {
    const auto AddressAt = [&](std::uint16_t Port) {
      return "\"" + address(Vm) + ":" + std::to_string(Port) + "\"\n";
    };
    return "nodeName = \"vm-" + std::to_string(Vm) + "\"\nip = \"" +
           address(Vm) + "\"\nzone = \"zone-a\"\nportRange = [" +
           std::to_string(FirstPeerPort) + ", 17355]\n" + "seeds = [\"" +
           address(0) + ":" + std::to_string(ControlPort) +
           "\"]\nheartbeatMs = 1200\n[listenAddrs]\nfront = " +
           AddressAt(CallerPort) + "ready = " + AddressAt(ReadyPort) +
           "control = " + AddressAt(ControlPort) +
           "directory = " + AddressAt(DirectoryPort) +
           "[bounds]\ngraceS = " + std::to_string(GraceSeconds) +
           "\ndrainMs = 2000\nconfigApplyMs = 2000\n" + "ttl_max_s = 1\n" +
           "[platform]\naddress = \"127.0.0.1:" +
           std::to_string(VmStoreLinks[static_cast<std::size_t>(Vm)]->port()) +
           "\"\n";
  }

  [[nodiscard]] static http::Request makeRequest(const Call &Params) {
    http::Request Request;
    Request.Method = Params.Path.starts_with("/stock") ? "GET" : "POST";
    Request.Path = Params.Path;
    Request.Fields["Host"] = Host;
    Request.Fields["X-Goldcrestnotch-Attempt-Id"] = Params.AttemptId;
    Request.Fields["X-Goldcrestnotch-Deadline-Ms"] = Params.DeadlineMs;
    Request.Fields["Authorization"] = "Bearer " + Params.ApiKey;
    Request.Fields["X-Goldcrestnotch-Tenant"] = "forged";
    if (!Params.TokenUsage.empty()) {
      Request.Fields["X-Goldcrestnotch-Token-Usage"] = Params.TokenUsage;
    }
    if (!Params.PromptParts.empty()) {
      Request.Fields["X-Goldcrestnotch-Prompt-Prefix"] = Params.PromptParts;
    }
    return Request;
  }

  [[nodiscard]] CallResult send(const http::Request &Request,
                                const http::Endpoint &Address,
                                int TimeoutMillis = 8'000) {
    CallResult Result;
    boost::asio::io_context LocalContext;
    boost::asio::spawn(LocalContext, [&](boost::asio::yield_context Yield) {
      try {
        http::Client Client{Yield, Address};
        const auto Deadline = DecisionClock::now() + Millis{TimeoutMillis};
        const auto Response = Client.open(Request, Deadline);
        Result.Status = Response->head().Status;
        Result.Fields = Response->head().Fields;
        while (auto Piece = Response->read(Deadline)) {
          Result.Body += *Piece;
        }
        Result.Complete = true;
      } catch (const Error &) {
        Result.Complete = false; // The test checks the result.
      }
    });
    LocalContext.run();
    return Result;
  }

  std::vector<std::unique_ptr<UsersReplica>> Replicas;
  std::vector<std::unique_ptr<standin::FaultyLink>>
      ReplicaLinks; ///< One per replica.
  /// One per VM; leads through `StoreLink`.
  std::vector<std::unique_ptr<standin::FaultyLink>> VmStoreLinks;
  std::vector<std::unique_ptr<scenario::Process>> Daemons;
  std::vector<std::thread> Threads;
};

} // namespace platform_test
