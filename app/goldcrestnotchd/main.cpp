/// @file
/// The daemon: reads the command line and settings, then runs the kernel.

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>

#include <boost/program_options.hpp>
#include <boost/system/system_error.hpp>

#include "goldcrestnotch/core/source_digest.hpp"
#include "goldcrestnotch/kernel/kernel.hpp"
#include "goldcrestnotch/kernel/process_setup.hpp"
#include "goldcrestnotch/settings/settings.hpp"
#include "goldcrestnotch/telemetry/log.hpp"
#include "launcher.hpp"

namespace {

using namespace goldcrestnotch;
namespace po = boost::program_options;

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

po::options_description describeOptions() {
  po::options_description Options{"goldcrestnotchd [options]"};
  Options.add_options()("help,h", "show this text")("version,V",
                                                    "show the version")(
      "config,c", po::value<std::string>(),
      "the settings file (TOML)")("check", "check the settings and end")(
      "platform", "run on the users' platform, with the settings it names");
  return Options;
}

/// A later start has a greater number: the clock in milliseconds.
std::uint64_t newIncarnation() {
  const auto Since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Millis>(Since).count());
}

int serve(const Settings &Given) {
  startLogging(Given.Level, Given.Vm.str());
  try {
    Kernel Host{Given, HolderId{Given.Vm, newIncarnation()}};
    // Requests that outlived the drain limit end with the process: unwinding
    // their coroutines would reach into services that are gone.
    std::quick_exit(Host.run());
  } catch (const boost::system::system_error &Failure) {
    log(LogLevel::Error, "vm.start_failed", {{"cause", Failure.what()}});
    return ExitFailed;
  }
}

int run(int Count, char **Words) {
  const auto Options = describeOptions();
  po::variables_map Chosen;
  po::store(po::parse_command_line(Count, Words, Options), Chosen);
  if (Chosen.contains("help")) {
    std::cout << Options;
    return 0;
  }
  if (Chosen.contains("version")) {
    std::cout << "goldcrestnotchd " GOLDCRESTNOTCH_VERSION ", sources "
              << sourceDigest() << '\n';
    return 0;
  }
  if (Chosen.contains("platform")) {
    return platform_adapter::runOnPlatform();
  }
  if (!Chosen.contains("config")) {
    std::cerr << "goldcrestnotchd: --config is required; see --help\n";
    return ExitUsage;
  }
  const auto Name = Chosen["config"].as<std::string>();
  const auto Given = Settings::parse(readSettings(Name), Name);
  if (Chosen.contains("check")) {
    std::cout << Name << ": the settings are good\n";
    return 0;
  }
  return serve(Given);
}

} // namespace

int main(int Count, char **Words) {
  setUpProcess();
  try {
    return run(Count, Words);
  } catch (const SettingsError &Failure) {
    std::cerr << Failure.what() << '\n';
  } catch (const po::error &Failure) {
    std::cerr << "goldcrestnotchd: " << Failure.what() << '\n';
  } catch (const std::exception &Failure) {
    std::cerr << "goldcrestnotchd: " << Failure.what() << '\n';
    return ExitFailed;
  }
  return ExitUsage;
}
