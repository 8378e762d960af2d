/// @file
/// Slows a process down as a small share of a processor would.

#pragma once

#include <atomic>
#include <chrono>
#include <csignal>
#include <thread>

#include <sys/types.h>

namespace platform_test {

/// @brief Gives a process a part of the processor only, by pausing it often.
class CpuThrottle {
public:
  /// @param RunTime How long the process runs in each 20 ms.
  explicit CpuThrottle(pid_t Process, std::chrono::milliseconds RunTime =
                                          std::chrono::milliseconds{2})
      : Process{Process}, RunTime{RunTime} {}
  ~CpuThrottle() {
    Ending = true;
    Pausing.join();
  }
  CpuThrottle(const CpuThrottle &) = delete;
  CpuThrottle &operator=(const CpuThrottle &) = delete;

private:
  static constexpr std::chrono::milliseconds Period{20};

  pid_t Process;
  std::chrono::milliseconds RunTime;
  std::atomic<bool> Ending{false};
  std::thread Pausing{[this] {
    while (!Ending) {
      ::kill(Process, SIGSTOP);
      std::this_thread::sleep_for(Period - RunTime);
      ::kill(Process, SIGCONT);
      std::this_thread::sleep_for(RunTime);
    }
  }};
};

} // namespace platform_test
