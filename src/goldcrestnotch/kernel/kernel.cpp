/// @file
/// Life cycle of a daemon.

#include "goldcrestnotch/kernel/kernel.hpp"

#include <csignal>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch {

namespace asio = boost::asio;

namespace internal {

static constexpr Millis DrainPoll{20};

} // namespace internal

Kernel::Kernel(Settings Given, HolderId Self)
    : Given{std::move(Given)}, Self{std::move(Self)},
      Traffic{static_cast<int>(this->Given.TrafficThreads)} {}

Kernel::~Kernel() {
  Control.stop();
  Traffic.stop();
  for (auto &One : Threads) {
    if (One.joinable()) {
      One.join();
    }
  }
  while (!Plugins.empty()) {
    Plugins.pop_back();
  }
}

int Kernel::run() {
  const WorkGuard KeepControl{Control.get_executor()};
  const WorkGuard KeepTraffic{Traffic.get_executor()};
  PluginRegistry::global().each([&](const std::string &Name, auto &Make) {
    Plugins.emplace_back(Name, Make(*this));
  });
  for (const auto &[Name, One] : Plugins) {
    One->start();
    log(LogLevel::Debug, "plugin.started", {{"name", Name}});
  }
  for (std::uint32_t I = 0; I < Given.TrafficThreads; ++I) {
    Threads.emplace_back([this] { Traffic.run(); });
  }
  watchSignals();
  Control.run();
  Traffic.stop();
  for (auto &One : Threads) {
    One.join();
  }
  Threads.clear();
  return ExitCode;
}

void Kernel::watchSignals() {
  asio::spawn(Control, [this](asio::yield_context Yield) {
    asio::signal_set Signals{Control, SIGTERM, SIGINT};
    boost::system::error_code Failure;
    Signals.async_wait(Yield[Failure]);
    beginDrain();
    Signals.async_wait(Yield[Failure]);
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
  DrainDeadline = DecisionClock::now() + Given.DrainTimeout;
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
        Timer.expires_after(internal::DrainPoll);
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
