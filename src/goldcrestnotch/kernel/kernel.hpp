/// @file
/// Holds a daemon together: settings, threads, services and plug-ins.

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

/// @brief One thread for control state, others for traffic.
class Kernel {
public:
  Kernel(Settings Given, HolderId Self);
  ~Kernel();
  Kernel(const Kernel &) = delete;
  Kernel &operator=(const Kernel &) = delete;

  [[nodiscard]] const Settings &settings() const noexcept { return Given; }
  [[nodiscard]] const HolderId &self() const noexcept { return Self; }
  [[nodiscard]] Metrics &metrics() noexcept { return Measured; }
  /// @brief Where control state lives; one thread runs it.
  [[nodiscard]] boost::asio::io_context &control() noexcept { return Control; }
  [[nodiscard]] boost::asio::io_context &traffic() noexcept { return Traffic; }
  [[nodiscard]] bool draining() const noexcept { return Draining; }

  /// @brief A service that an earlier plug-in put here.
  /// @throws std::logic_error if there is none.
  template <typename Service> [[nodiscard]] Service &service() const {
    const auto It = Services.find(typeid(Service));
    if (It == Services.end()) {
      throw std::logic_error{"a plug-in asks for a service not started"};
    }
    return *std::any_cast<Service *>(It->second);
  }

  /// @brief Offers a service to later plug-ins; it stays its owner's.
  template <typename Service> void emplace(Service &Offered) {
    Services.insert_or_assign(typeid(Service), &Offered);
  }

  /// @brief Starts all plug-ins and runs until a signal or `stop`.
  /// @return The exit code.
  [[nodiscard]] int run();
  /// @brief Begins a graceful shutdown.
  /// @param Code What `run` returns.
  void stop(int Code);

private:
  void watchSignals();
  void beginDrain();
  void awaitDrained();
  void finish();

  using WorkGuard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  Settings Given;
  HolderId Self;
  Metrics Measured;
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
