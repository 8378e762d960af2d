/// @file
/// Runs a small deployment on loopback for the scripts under `review`: the
/// project's daemons as separate processes, the project's store stand-in, and
/// small replicas and clients that use blocking sockets.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "../../standin/users_store.hpp"

namespace review {

/// @brief A parsed HTTP request or response head; names in lower case.
using Fields = std::map<std::string, std::string>;

/// @brief Milliseconds since the program started.
[[nodiscard]] std::int64_t elapsedMs();
/// @brief Suspends the thread.
void pauseMs(std::int64_t Count);
/// @brief Whether the script shall cause the disruption: not if TROUBLE=0.
[[nodiscard]] bool troubleWanted();

/// @brief Writes `record.txt`: what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &File) : Out{File} {}
  void line(const std::string &Text);

private:
  std::mutex Mutex;
  std::ofstream Out; ///< Guarded by `Mutex`.
};

/// @brief A connected TCP socket with blocking calls; closes itself.
class Socket {
public:
  explicit Socket(int Descriptor) : Descriptor{Descriptor} {}
  ~Socket();
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;

  /// @brief Connects to an address.
  /// @return A socket that is not `open` if the connection fails.
  [[nodiscard]] static std::unique_ptr<Socket>
  connect(const std::string &Address, std::uint16_t Port, int TimeoutMs);

  [[nodiscard]] bool open() const noexcept { return Descriptor >= 0; }
  [[nodiscard]] bool write(const std::string &Bytes) const;
  /// @brief Appends what arrives to the buffer.
  /// @return False at the end, on an error and on a timeout.
  [[nodiscard]] bool read();
  /// @brief Whether the peer has reset or closed the connection.
  [[nodiscard]] bool peerGone() const;
  void setTimeout(int Millis) const;
  /// @brief Closes with a reset instead of an orderly end.
  void reset();

  std::string Buffer; ///< Read and not yet used.

private:
  int Descriptor;
};

/// @brief A message as it was read.
struct Message {
  std::string FirstLine;
  Fields Head;
  std::string Body;
  bool Complete = false; ///< Head and body were read to their end.

  [[nodiscard]] std::string field(const std::string &Name) const;
  [[nodiscard]] int status() const;
};

/// @brief Reads one message with a length or in chunks. A response with neither
/// ends with its connection.
[[nodiscard]] Message readMessage(Socket &From, bool IsResponse);

/// @brief A replica: serves each connection in a thread of its own.
class Replica {
public:
  /// Answers a request that names this replica.
  /// @return Whether the connection may carry another request.
  using Handler = std::function<bool(Replica &, Socket &, const Message &)>;

  Replica(std::string Name, std::string Service, std::string Version,
          std::string Address, Record &Log, Handler OnRequest);
  ~Replica();
  Replica(const Replica &) = delete;
  Replica &operator=(const Replica &) = delete;

  [[nodiscard]] const std::string &name() const noexcept { return Name; }
  [[nodiscard]] const std::string &version() const noexcept { return Version; }
  /// @brief The next entry for the platform's list of replicas.
  [[nodiscard]] std::string entry(const std::string &State);
  /// @brief Head of a response that ran, without the blank line at its end.
  [[nodiscard]] std::string head(const Message &Request,
                                 const std::string &MoreFields) const;

  /// @brief Number of the present boot; an exchange that began in another one
  /// must write nothing more.
  [[nodiscard]] int boot() const noexcept { return Boot; }
  /// @brief Whether the replica runs, and so writes status reports.
  [[nodiscard]] bool running() const noexcept { return Listener >= 0; }
  /// @brief Ends the boot like a loss of power: open connections go silent, and
  /// new ones are refused.
  void crash();
  /// @brief Starts again at the same address, under the same id.
  void start();

private:
  void accept();
  void serve(int Descriptor);
  /// @brief Reads and drops what arrives until the peer closes.
  static void ignore(Socket &Caller);

  std::string Name;
  std::string Service;
  std::string Version;
  std::string Address;
  Record &Log;
  Handler OnRequest;
  std::atomic<int> Listener{-1}; ///< Negative while the replica is down.
  std::uint16_t Port = 0;        ///< Zero before the first start.
  std::atomic<int> Boot{0};
  std::atomic<std::int64_t> BornMs{0};
  std::atomic<std::uint64_t> Entries{0};
  std::atomic<bool> Ending{false};
  std::thread Acceptor;
  std::mutex Mutex;
  std::vector<std::thread> Threads; ///< Guarded by `Mutex`.
  std::set<int> OpenSockets;        ///< Guarded by `Mutex`.
};

/// @brief A daemon of the fleet, started as the deploy file says.
class Daemon {
public:
  Daemon(const std::string &Settings, const std::string &Log);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  void signal(int Number) const;
  /// @brief Resident memory in bytes; zero if the process has ended.
  [[nodiscard]] std::size_t residentBytes() const;
  /// @brief Whether the process has ended within a time.
  [[nodiscard]] bool ended(int TimeoutMs);

private:
  pid_t Id = 0;
  bool Reaped = false;
};

/// @brief The store, the replicas and the daemons of a deployment.
class Deployment {
public:
  /// @param Machines Number of daemons, spread over three zones.
  /// @param Log Takes what clients send and get, and what replicas run.
  Deployment(int Machines, const std::string &Manifest, Record &Log);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  /// @brief Adds a replica that writes status reports from now on.
  Replica &addReplica(const std::string &Name, const std::string &Service,
                      Replica::Handler OnRequest,
                      const std::string &Version = "v1");
  /// @brief Reports that a replica is draining, and removes its entry later.
  void drainReplica(const Replica &Leaving, int RemovalMs);
  /// @brief Starts all daemons and waits until they are ready.
  [[nodiscard]] bool start();
  /// @brief Starts the daemon of a machine, which must have ended.
  void startDaemon(int Machine);
  [[nodiscard]] Daemon &daemon(int Machine) { return *Daemons.at(Machine); }
  [[nodiscard]] bool waitUntilReady(int Machine, int TimeoutMs);
  [[nodiscard]] int machines() const noexcept { return Machines; }
  /// @brief Address of a machine, the same for all its ports.
  [[nodiscard]] std::string address(int Machine) const;
  [[nodiscard]] std::uint16_t callerPort() const noexcept { return BasePort; }
  /// @brief Sends a request on a new connection and reads the answer.
  [[nodiscard]] Message call(int Machine, const std::string &Request,
                             int TimeoutMs) const;
  /// @brief The port that a machine uses to reach the store; 0 is the store's
  /// own. Must be set before `start`.
  void setStorePort(int Machine, std::uint16_t Port);
  [[nodiscard]] standin::UsersStore &store() noexcept { return Store; }
  [[nodiscard]] boost::asio::io_context &context() noexcept { return Context; }

private:
  [[nodiscard]] std::string settings(int Machine) const;
  [[nodiscard]] bool portsFree() const;
  void report();

  boost::asio::io_context &Context; ///< Never destroyed, like in the tests.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;
  std::vector<std::thread> ContextThreads;
  int Machines;
  Record &Log;
  std::string Prefix;         ///< First three numbers of all addresses.
  std::uint16_t BasePort = 0; ///< Callers' port; others follow.
  std::string Folder;         ///< Temporary folder.
  std::map<int, std::uint16_t> StorePorts;
  standin::UsersStore Store;
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::mutex Mutex;
  std::vector<std::unique_ptr<Replica>> Replicas; ///< Guarded by `Mutex`.
  std::set<std::string> LeavingReplicas;          ///< Guarded by `Mutex`.
  std::atomic<bool> Ending{false};
  std::thread Reporter;
};

} // namespace review
