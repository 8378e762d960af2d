/// @file
/// The kernel of a daemon: owner of its settings, threads, services and
/// plug-ins.

#pragma once

#include <any>
#include <atomic>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <typeindex>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "goldcrestnotch/kernel/plugin.hpp"
#include "goldcrestnotch/ledger/holder_id.hpp"
#include "goldcrestnotch/settings/settings.hpp"
#include "goldcrestnotch/telemetry/metrics.hpp"

namespace goldcrestnotch {

/// @brief Runs the plug-ins of a daemon.
/// @details One thread runs the control context, on which all control state is
/// accessed. The traffic threads run the traffic context.
class Kernel {
public:
  /// @param Configuration The settings of the daemon.
  /// @param Self The holder id of this process.
  Kernel(Settings Configuration, HolderId Self);
  ~Kernel();
  Kernel(const Kernel &) = delete;
  Kernel &operator=(const Kernel &) = delete;

  [[nodiscard]] const Settings &settings() const noexcept {
    return Configuration;
  }
  /// @brief The holder id of this process.
  [[nodiscard]] const HolderId &self() const noexcept { return Self; }
  [[nodiscard]] Metrics &metrics() noexcept { return ProcessMetrics; }
  /// @brief The context of the control state, run by a single thread.
  [[nodiscard]] boost::asio::io_context &control() noexcept { return Control; }
  /// @brief The context of requests, run by `TrafficThreads` threads.
  [[nodiscard]] boost::asio::io_context &traffic() noexcept { return Traffic; }
  /// @brief Whether a graceful shutdown has begun.
  [[nodiscard]] bool draining() const noexcept { return Draining; }

  /// @brief Finds a service that was registered by `emplace`.
  /// @throws std::logic_error if no such service is registered.
  template <typename Service> [[nodiscard]] Service &service() const {
    const auto It = Services.find(typeid(Service));
    if (It == Services.end()) {
      throw std::logic_error{
          "a plug-in requested a service that is not registered"};
    }
    return *std::any_cast<Service *>(It->second);
  }

  /// @brief Registers a service for the plug-ins that are constructed later.
  /// @param Instance The service. The caller keeps ownership.
  template <typename Service> void emplace(Service &Instance) {
    Services.insert_or_assign(typeid(Service), &Instance);
  }

  /// @brief Starts all plug-ins and runs until SIGTERM, SIGINT or `stop` has
  /// led to a shutdown.
  /// @return The exit code of the process.
  [[nodiscard]] int run();
  /// @brief Begins a graceful shutdown. Can be called from any thread.
  /// @param Code The value that `run` returns.
  void stop(int Code);

private:
  /// @brief Drains at the first signal and stops at once at the second.
  void watchSignals();
  void beginDrain();
  /// @brief Waits for the plug-ins to drain, up to the drain timeout, and
  /// stops.
  void awaitDrained();
  void finish();

  using WorkGuard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  Settings Configuration;
  HolderId Self;
  Metrics ProcessMetrics;
  boost::asio::io_context Control{1};
  boost::asio::io_context Traffic;
  std::map<std::type_index, std::any> Services;
  std::vector<std::pair<std::string, std::unique_ptr<Plugin>>> Plugins;
  std::vector<std::thread> Threads;
  std::atomic<bool> Draining{false};
  Instant DrainDeadline{};
  int ExitCode = 0;
};

} // namespace goldcrestnotch
