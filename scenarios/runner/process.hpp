/// @file
/// A process of the fleet under test.

#pragma once

#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace scenario {

/// @brief Starts a program and keeps what it writes; ends it when destroyed.
class Process {
public:
  /// @throws std::runtime_error if the program can't be started.
  Process(const std::string &Program, const std::vector<std::string> &Words);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  [[nodiscard]] pid_t id() const noexcept { return Id; }
  /// @brief All that it has written so far.
  [[nodiscard]] std::string output() const;

  /// @brief Sends it a signal, unless it has ended.
  void signal(int Number);
  /// @brief Waits for its end.
  /// @return Its exit code, or 128 and the signal that ended it; nothing if it
  /// still runs after the time.
  [[nodiscard]] std::optional<int> wait(int Millis);

private:
  void read();

  pid_t Id = 0;
  int Pipe = -1;
  std::optional<int> Code; ///< Set once it has been reaped.
  mutable std::mutex Mutex;
  std::string Text; ///< Guarded by `Mutex`.
  std::thread Reader;
};

} // namespace scenario
