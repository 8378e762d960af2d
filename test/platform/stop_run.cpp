/// @file
/// Stops many real daemons in a planned way while callers send requests with
/// bodies in chunks, and checks that none of them ends without a whole answer.
/// Exits with 1 if one did, and with 2 on an error.

#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/program_options.hpp>

#include "cpu_throttle.hpp"
#include "fleet.hpp"

namespace platform_test {
namespace {

namespace asio = boost::asio;
namespace wire = boost::beast::http;
namespace options = boost::program_options;
using std::chrono::milliseconds;

constexpr int ReplicaCount = 12;
constexpr int EventsPerStream = 5;
/// Pauses before the events of the replicas, in turn.
constexpr int EventDelaysMs[] = {10, 60, 300, 700, 1'200, 1'650};
constexpr milliseconds RequestDeadline{12'000};
/// A request whose connection ends without an answer so soon after its last
/// byte has crossed the end of the connection.
constexpr Millis CrossingTime{200};
/// Time after the signal in which every request is accepted, with the grace
/// time of the run.
constexpr Millis AcceptTime{2'600};
/// How long a VM is slow before it is told to stop.
constexpr milliseconds ThrottleTime{1'500};
/// Interval at which configurations are published until then.
constexpr milliseconds PublishInterval{250};
/// A target that is at work in this last fraction (1/N) of the grace time
/// excuses a cut answer, if the request was sent in time.
constexpr int LastPartDivisor = 6;

struct RunOptions {
  int VmCount = 3;
  int Rounds = 1;
  int StopsPerRound = 1;
  int CallersPerVm = 4;
  int RunTimeMs = 0; ///< Of each 20 ms, while a VM stops; zero for all.
  int Routes = 0; ///< Of a configuration that is published before each round.
  int GraceSeconds = 8;
  std::uint64_t Seed = 1;
};

/// @brief A request as its caller saw it.
struct Outcome {
  std::string AttemptId;
  int Vm = 0;
  Instant SentBegin{};
  Instant SentEnd{}; ///< The epoch if not all of it could be sent.
  Instant End{};
  int Status = 0;
  bool Complete = false;
  std::string Signature; ///< Names the replica.
};

/// @brief A planned stop of a VM.
struct Stop {
  int Vm = 0;
  Instant Signal{};
  Instant Ended{};
  bool Killed = false;
  int HandledAfterMs = 0; ///< Time from its arrival to its handling.
};

class StopRun {
public:
  explicit StopRun(const RunOptions &Options)
      : Options{Options}, TestFleet{ReplicaCount, Options.VmCount,
                                    Fleet::Unlimited, Options.GraceSeconds},
        Random{Options.Seed} {
    for (int I = 0; I < ReplicaCount; ++I) {
      TestFleet.replica(I).Events = EventsPerStream;
      TestFleet.replica(I).EventDelayMs =
          EventDelaysMs[static_cast<std::size_t>(I) % std::size(EventDelaysMs)];
    }
  }

  /// @return Whether no request was lost.
  [[nodiscard]] bool play() {
    for (int Vm = 0; Vm < Options.VmCount; ++Vm) {
      if (!TestFleet.eventually([&] { return ready(Vm); }, 60'000)) {
        throw std::runtime_error("VM " + std::to_string(Vm) +
                                 " does not start");
      }
    }
    for (int I = 0; I < Options.VmCount * Options.CallersPerVm; ++I) {
      asio::spawn(Loop, [this, I](asio::yield_context Yield) {
        callAgainAndAgain(I, Yield);
      });
    }
    TestFleet.RouteTimeoutMs = static_cast<int>(RequestDeadline.count());
    TestFleet.publish(Version, Fleet::Unlimited);
    std::this_thread::sleep_for(milliseconds{2'000});
    std::thread Calling{[this] { Loop.run(); }};
    std::this_thread::sleep_for(milliseconds{2'000});
    for (int Round = 0; Round < Options.Rounds; ++Round) {
      stopSome();
    }
    Ending = true;
    Calling.join();
    return report();
  }

private:
  [[nodiscard]] bool ready(int Vm) {
    return TestFleet.get(Fleet::ReadyPort, "/api/readiness", Vm).Status == 200;
  }

  [[nodiscard]] int draw(int Min, int Max) {
    return std::uniform_int_distribution<int>{Min, Max}(Random);
  }

  /// @brief Sends requests, each to a VM that is drawn; sometimes several on
  /// one connection.
  void callAgainAndAgain(int Number, asio::yield_context Yield) {
    boost::beast::tcp_stream Connection{Loop};
    int Vm = -1;
    for (int I = 0; !Ending; ++I) {
      boost::system::error_code Failure;
      if (Vm < 0) {
        Vm = draw(0, Options.VmCount - 1);
        Connection.expires_after(milliseconds{1'000});
        Connection.async_connect(
            {asio::ip::make_address(Fleet::address(Vm)), Fleet::CallerPort},
            Yield[Failure]);
      }
      if (Failure || !exchange(Connection, Vm, Number, I, Yield)) {
        Connection.close();
        Vm = -1;
      }
      asio::steady_timer Pause{Loop, milliseconds{draw(1, 200)}};
      Pause.async_wait(Yield[Failure]);
    }
  }

  /// @brief Sends a request in pieces and reads its answer.
  /// @return Whether the connection can be used again.
  bool exchange(boost::beast::tcp_stream &Connection, int Vm, int Number,
                int Count, asio::yield_context Yield) {
    Outcome Result;
    Result.Vm = Vm;
    Result.AttemptId = std::to_string(Number) + "-" + std::to_string(Count);
    Result.SentBegin = DecisionClock::now();
    const std::string Pieces[] = {
        "POST " + std::string{draw(0, 1) == 0 ? "/long/1" : "/once/1"} +
            " HTTP/1.1\r\nHost: " + Fleet::Host +
            "\r\nX-Goldcrestnotch-Attempt-Id: " + Result.AttemptId +
            "\r\nX-Goldcrestnotch-Deadline-Ms: " +
            std::to_string(RequestDeadline.count()) +
            "\r\nX-Goldcrestnotch-Token-Usage: 100,60"
            "\r\nAuthorization: Bearer key-1"
            "\r\nTransfer-Encoding: chunked\r\n\r\n",
        "1000\r\n" + std::string(4'096, 'x') + "\r\n",
        "1000\r\n" + std::string(4'096, 'y') + "\r\n",
        draw(0, 3) == 0 ? "0\r\nX-Sum: 1\r\n\r\n" : "0\r\n\r\n"};
    const int PauseMs = draw(0, 2) == 0 ? draw(1, 500) : 0;
    boost::system::error_code Failure;
    Connection.expires_after(RequestDeadline);
    for (const auto &Piece : Pieces) {
      if (!Failure) {
        asio::async_write(Connection, asio::buffer(Piece), Yield[Failure]);
      }
      if (!Failure && PauseMs > 0 && &Piece != std::end(Pieces) - 1) {
        asio::steady_timer Pause{Loop, milliseconds{PauseMs}};
        Pause.async_wait(Yield);
      }
    }
    Result.SentEnd = Failure ? Instant{} : DecisionClock::now();
    const bool Reusable = readAnswer(Connection, Result, Yield);
    Result.End = DecisionClock::now();
    Outcomes.push_back(std::move(Result));
    return Reusable;
  }

  static bool readAnswer(boost::beast::tcp_stream &Connection, Outcome &Result,
                         asio::yield_context Yield) {
    boost::beast::flat_buffer Buffer;
    wire::response_parser<wire::string_body> Answer;
    boost::system::error_code Failure;
    wire::async_read(Connection, Buffer, Answer, Yield[Failure]);
    if (Answer.is_header_done()) {
      Result.Status = static_cast<int>(Answer.get().result_int());
      Result.Signature =
          std::string{Answer.get()["X-Goldcrestnotch-Replica-Signature"]};
    }
    Result.Complete = !Failure && Answer.is_done();
    return Result.Complete && Answer.keep_alive();
  }

  /// @brief How late a daemon handled the signal, from its log.
  [[nodiscard]] static int handlingDelay(const std::string &Output) {
    const auto Event = Output.find("vm.draining");
    const auto Value = Output.find("\"stop_ms\":", Event);
    return Event == std::string::npos || Value == std::string::npos
               ? 0
               : std::atoi(Output.c_str() + Value + 10);
  }

  /// @brief Stops some VMs at nearly the same time, with further signals beside
  /// it, and starts them again.
  void stopSome() {
    std::vector<std::thread> Stopping;
    std::vector<int> Vms(static_cast<std::size_t>(Options.VmCount));
    std::iota(Vms.begin(), Vms.end(), 0);
    std::mt19937_64 Shuffling{Options.Seed + Stops.size()};
    std::shuffle(Vms.begin(), Vms.end(), Shuffling);
    Vms.resize(
        std::min(Vms.size(), static_cast<std::size_t>(Options.StopsPerRound)));
    for (const int Vm : Vms) {
      Stopping.emplace_back([this, Vm] { stop(Vm); });
      std::this_thread::sleep_for(milliseconds{20});
    }
    for (auto Waited = milliseconds{0};
         Options.Routes > 0 && Waited < ThrottleTime;
         Waited += PublishInterval) {
      TestFleet.publish(++Version, Fleet::Unlimited, {"key-1"}, Options.Routes);
      std::this_thread::sleep_for(PublishInterval);
    }
    for (auto &Thread : Stopping) {
      Thread.join();
    }
    for (const int Vm : Vms) {
      TestFleet.start(Vm);
    }
    std::this_thread::sleep_for(milliseconds{2'000});
  }

  void stop(int Vm) {
    auto &Daemon = TestFleet.daemon(Vm);
    std::optional<CpuThrottle> Slow;
    if (Options.RunTimeMs > 0) {
      Slow.emplace(Daemon.id(), milliseconds{Options.RunTimeMs});
      std::this_thread::sleep_for(ThrottleTime);
    }
    Stop Result{Vm, DecisionClock::now()};
    for (const int Number : {SIGHUP, SIGTERM, SIGHUP, SIGTERM}) {
      Daemon.signal(Number);
    }
    const milliseconds Grace{Options.GraceSeconds * 1'000};
    Result.Killed = !Daemon.wait(static_cast<int>(Grace.count()));
    Result.Ended = DecisionClock::now();
    Slow.reset(); // Before the process is reaped.
    if (Result.Killed) {
      Daemon.signal(SIGKILL);
    }
    Result.HandledAfterMs = handlingDelay(Daemon.output());
    const std::lock_guard Lock{Mutex};
    Stops.push_back(Result);
  }

  [[nodiscard]] Millis workTime(const Outcome &Request) const {
    const auto Name = Request.Signature.find("i-");
    const auto Number = Name == std::string::npos
                            ? std::size_t{0}
                            : std::stoul(Request.Signature.substr(Name + 2));
    return Millis{EventDelaysMs[Number % std::size(EventDelaysMs)] *
                  EventsPerStream};
  }

  /// @brief Whether the request may end without a whole answer.
  [[nodiscard]] bool excused(const Outcome &Request,
                             const Stop &Planned) const {
    const Millis Grace{Options.GraceSeconds * 1'000};
    if (Request.SentEnd == Instant{} ||
        Request.End - Request.SentBegin >= RequestDeadline) {
      return true;
    }
    if (Request.Signature.empty()) {
      return Request.End - Request.SentEnd <= CrossingTime &&
             TestFleet.runsOf(Request.AttemptId) == 0;
    }
    const auto LastPart = Planned.Signal + Grace - Grace / LastPartDivisor;
    return Request.SentEnd <= Planned.Signal + Grace * 3 / 8 &&
           Request.End >= LastPart &&
           Request.SentEnd + workTime(Request) >= LastPart;
  }

  [[nodiscard]] bool report() {
    std::map<std::string, int> Counts;
    int Lost = 0;
    int LongestDelay = 0;
    for (const auto &Planned : Stops) {
      Counts["stops"] += 1;
      Counts["stops that were killed"] += Planned.Killed ? 1 : 0;
      LongestDelay = std::max(LongestDelay, Planned.HandledAfterMs);
      for (const auto &Request : Outcomes) {
        if (Request.Vm != Planned.Vm || Request.End < Planned.Signal ||
            Request.SentBegin > Planned.Ended) {
          continue;
        }
        if (Request.SentBegin < Planned.Signal + AcceptTime) {
          ++Counts["sent before or while all requests are accepted"];
          Counts["  of these served"] +=
              Request.Complete && Request.Status == 200 ? 1 : 0;
        }
        const auto Status = std::to_string(Request.Status);
        ++Counts["beside a stop, " + Status +
                 (Request.Complete ? "" : ", not whole")];
        if (Request.Complete) {
          continue;
        }
        const bool Allowed = excused(Request, Planned);
        Counts["beside a stop, not whole, excused"] += Allowed ? 1 : 0;
        Lost += Allowed ? 0 : 1;
        std::cout << (Allowed ? "excused" : "lost") << " at VM " << Request.Vm
                  << ": sent " << (Request.SentBegin - Planned.Signal).count()
                  << ".." << (Request.SentEnd - Planned.Signal).count()
                  << " ms after the signal, ended at "
                  << (Request.End - Planned.Signal).count() << " ms, status "
                  << Request.Status << ", " << Request.Signature << ", runs "
                  << TestFleet.runsOf(Request.AttemptId)
                  << ", process ended at "
                  << (Planned.Ended - Planned.Signal).count() << " ms\n";
      }
    }
    for (const auto &[What, Count] : Counts) {
      std::cout << "  " << What << ": " << Count << "\n";
    }
    std::cout << "  longest delay of a signal's handling: " << LongestDelay
              << " ms\n  requests in all: " << Outcomes.size() << "\n"
              << (Lost == 0 ? "none lost\n"
                            : "lost: " + std::to_string(Lost) + "\n");
    return Lost == 0;
  }

  RunOptions Options;
  Fleet TestFleet;
  std::mt19937_64 Random; ///< Used by the callers' thread only.
  std::atomic<bool> Ending{false};
  /// Never destroyed: coroutines may be suspended in it.
  asio::io_context &Loop = *new asio::io_context{1};
  std::vector<Outcome> Outcomes; ///< Used by the callers' thread until it ends.
  int Version = 2; ///< Of the configuration that was published last.
  std::mutex Mutex;
  std::vector<Stop> Stops; ///< Guarded by `Mutex`.
};

} // namespace
} // namespace platform_test

int main(int Count, char **Arguments) {
  platform_test::RunOptions Options;
  namespace options = boost::program_options;
  options::options_description Description{
      "stop_run: planned stops of real daemons under load"};
  Description.add_options()("help", "show this")(
      "vms", options::value(&Options.VmCount), "number of daemons")(
      "rounds", options::value(&Options.Rounds),
      "number of rounds")("stops", options::value(&Options.StopsPerRound),
                          "number of VMs that stop in a round")(
      "callers", options::value(&Options.CallersPerVm),
      "number of callers for each VM")(
      "run-ms", options::value(&Options.RunTimeMs),
      "how long a VM that stops runs in each 20 ms; 0 for always")(
      "routes", options::value(&Options.Routes),
      "number of routes of configurations that are published before the "
      "stops of a round; 0 for none")("grace",
                                      options::value(&Options.GraceSeconds),
                                      "seconds from SIGTERM to the kill")(
      "seed", options::value(&Options.Seed), "seed of the random requests");
  try {
    options::variables_map Parsed;
    options::store(options::parse_command_line(Count, Arguments, Description),
                   Parsed);
    options::notify(Parsed);
    if (Parsed.count("help") != 0) {
      std::cout << Description;
      return 0;
    }
    return platform_test::StopRun{Options}.play() ? 0 : 1;
  } catch (const std::exception &Error) {
    std::cerr << "stop_run: " << Error.what() << "\n";
    return 2;
  }
}
