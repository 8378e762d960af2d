/// @file
/// Life cycle of a daemon: start of the plug-ins and threads, drain and
/// shutdown.

#include "goldcrestnotch/kernel/kernel.hpp"

#include <csignal>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include "goldcrestnotch/kernel/run_loop.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch {

namespace asio = boost::asio;

namespace internal {

static constexpr Millis DrainPollInterval{20};

} // namespace internal

Kernel::Kernel(Settings Configuration, HolderId Self)
    : Configuration{std::move(Configuration)}, Self{std::move(Self)},
      Traffic{static_cast<int>(this->Configuration.TrafficThreads)} {}

Kernel::~Kernel() {
  Control.stop();
  Traffic.stop();
  for (auto &Thread : Threads) {
    if (Thread.joinable()) {
      Thread.join();
    }
  }
  // A plug-in may use services of those started before it, so they are
  // destroyed in reverse order.
  while (!Plugins.empty()) {
    Plugins.pop_back();
  }
}

int Kernel::run() {
  const WorkGuard ControlGuard{Control.get_executor()};
  const WorkGuard TrafficGuard{Traffic.get_executor()};
  watchSignals();
  PluginRegistry::global().forEach([&](const std::string &Name, auto &Factory) {
    Plugins.emplace_back(Name, Factory(*this));
  });
  for (const auto &[Name, Instance] : Plugins) {
    Instance->start();
    log(LogLevel::Debug, "plugin.started", {{"name", Name}});
  }
  for (std::uint32_t I = 0; I < Configuration.TrafficThreads; ++I) {
    Threads.emplace_back([this] { runLoop(Traffic); });
  }
  runLoop(Control);
  Traffic.stop();
  for (auto &Thread : Threads) {
    Thread.join();
  }
  Threads.clear();
  return ExitCode;
}

void Kernel::watchSignals() {
  // From here on no signal ends the process; one that comes before the loop
  // runs is kept.
  const auto Signals =
      std::make_shared<asio::signal_set>(Control, SIGTERM, SIGINT);
  asio::spawn(Control, [this, Signals](asio::yield_context Yield) {
    boost::system::error_code ErrorCode;
    Signals->async_wait(Yield[ErrorCode]);
    beginDrain();
    // A second signal ends the process without waiting for the drain.
    Signals->async_wait(Yield[ErrorCode]);
    finish();
  });
}

void Kernel::stop(int Code) {
  asio::post(Control, [this, Code] {
    ExitCode = Code;
    beginDrain();
  });
}

void Kernel::beginDrain() {
  if (Draining.exchange(true)) {
    return;
  }
  DrainDeadline = DecisionClock::now() + Configuration.DrainTimeout;
  log(LogLevel::Info, "vm.draining");
  for (auto It = Plugins.rbegin(); It != Plugins.rend(); ++It) {
    It->second->drain();
  }
  awaitDrained();
}

void Kernel::awaitDrained() {
  asio::spawn(Control, [this](asio::yield_context Yield) {
    asio::steady_timer Timer{Control};
    for (auto It = Plugins.rbegin(); It != Plugins.rend(); ++It) {
      while (!It->second->drained() && DecisionClock::now() < DrainDeadline) {
        Timer.expires_after(internal::DrainPollInterval);
        Timer.async_wait(Yield);
      }
    }
    finish();
  });
}

void Kernel::finish() {
  log(LogLevel::Info, "vm.stopped");
  Control.stop();
}

} // namespace goldcrestnotch
