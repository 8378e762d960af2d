/// @file
/// A child process of the scenario, such as a daemon of the fleet under test.

#pragma once

#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace scenario {

/// @brief Starts a program and captures its stdout and stderr; kills it when
/// destroyed.
class Process {
public:
  /// @throws std::runtime_error if the program can't be started.
  Process(const std::string &Program,
          const std::vector<std::string> &Arguments);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  [[nodiscard]] pid_t id() const noexcept { return Id; }
  /// @brief Everything the process has written so far.
  [[nodiscard]] std::string output() const;

  /// @brief Sends a signal, unless the process has been reaped.
  void signal(int Number);
  /// @brief Waits for the process to exit; without limit if `TimeoutMs` is
  /// negative.
  /// @return The exit code, or 128 plus the number of the signal that ended the
  /// process; nothing if it still runs after the timeout.
  [[nodiscard]] std::optional<int> wait(int TimeoutMs);
  /// @brief Stops reading the output. The pipe then takes one more page.
  void stallOutput();
  /// @brief Stops reading the output and closes the reading end of the pipe.
  void closeOutput();

private:
  void read();
  void stopReading();

  pid_t Id = 0;
  int Pipe = -1; ///< Reading end of the output; negative once it is closed.
  std::optional<int> ExitCode; ///< Set once the process has been reaped.
  mutable std::mutex Mutex;
  std::string Output; ///< Guarded by `Mutex`.
  std::atomic<bool> Reading{true};
  std::thread Reader;
};

} // namespace scenario
