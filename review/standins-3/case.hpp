/// @file
/// What the scripted cases share: a record of what was sent, answered and run,
/// a replica that a case scripts, and a consumer that keeps to the pages.

#pragma once

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <utility>

#include "goldcrestnotch/http/server.hpp"
#include "goldcrestnotch/kernel/await.hpp"
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

namespace review {

using namespace goldcrestnotch;
using nlohmann::json;

/// The exit codes of a case.
inline constexpr int Held = 0;
inline constexpr int Broken = 1;
inline constexpr int NotRun = 2;

inline constexpr const char *AttemptHeader = "X-Goldcrestnotch-Attempt-Id";

/// @brief Whether the case plays its disruption.
[[nodiscard]] inline bool troubled() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string{Value} != "0";
}

/// @brief Writes lines with the time since the start of the case.
class Record {
public:
  explicit Record(const std::string &File) : Out{File} {}

  void line(const std::string &Text) {
    const std::lock_guard Lock{Mutex};
    Out << seconds() << " s  " << Text << '\n' << std::flush;
  }
  [[nodiscard]] double seconds() const {
    return std::chrono::duration<double>(DecisionClock::now() - Begin).count();
  }

private:
  const Instant Begin = DecisionClock::now();
  std::mutex Mutex;
  std::ofstream Out;
};

/// @brief A replica that counts the runs of each attempt and answers as its
/// case says. A request that names another replica gets 421 and is not run.
class ScriptedReplica {
public:
  /// Gets a response with the echoed id and the receipt already set.
  using Script = std::function<void(http::Exchange &, http::Response)>;

  ScriptedReplica(boost::asio::io_context &Context, std::string Id,
                  std::string ServiceName, Script Answer)
      : Name{std::move(Id)}, Service{std::move(ServiceName)}, Answer{std::move(
                                                                  Answer)},
        Listener{Context, {"127.0.0.1", 0}, {}, [this](http::Exchange &Call) {
                   handle(Call);
                 }} {
    Listener.start();
  }

  [[nodiscard]] const std::string &name() const noexcept { return Name; }
  [[nodiscard]] std::uint16_t port() const noexcept { return Listener.port(); }
  /// @brief The entry in the platform's store, as a replica writes it.
  [[nodiscard]] std::string entry(const std::string &Address,
                                  const std::string &State = "ready") {
    return json{
        {"service", Service}, {"address", Address},    {"zone", "zone-a"},
        {"version", "v1"},    {"capacity", 8},         {"state", State},
        {"coldLeftMs", 0},    {"sequence", ++Entries}, {"born", BornMs}}
        .dump();
  }
  [[nodiscard]] std::string entry() {
    return entry("127.0.0.1:" + std::to_string(port()));
  }
  [[nodiscard]] int runsOf(const std::string &Attempt) {
    const std::lock_guard Lock{Mutex};
    const auto Found = Runs.find(Attempt);
    return Found == Runs.end() ? 0 : Found->second;
  }

private:
  static constexpr std::uint64_t BornMs = 1'700'000'000'000;

  void handle(http::Exchange &Call) {
    const std::string Attempt{Call.request().field(AttemptHeader)};
    http::Response Reply;
    Reply.Fields[AttemptHeader] = Attempt;
    Reply.Fields["Keep-Alive"] = "timeout=5";
    if (Call.request().field("X-Goldcrestnotch-Expect-Replica") != Name) {
      Reply.Status = 421;
      Reply.Fields["X-Goldcrestnotch-Not-Executed"] = "1";
      Call.reply(Reply);
      return;
    }
    {
      const std::lock_guard Lock{Mutex};
      ++Runs[Attempt];
    }
    Reply.Fields["X-Goldcrestnotch-Replica-Signature"] = "signed-" + Name;
    Answer(Call, std::move(Reply));
  }

  const std::string Name;
  const std::string Service;
  const Script Answer;
  std::uint64_t Entries = 0;
  std::mutex Mutex;
  std::map<std::string, int> Runs; ///< By attempt; guarded by `Mutex`.
  http::Server Listener;
};

} // namespace review
