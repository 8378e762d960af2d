/// @file
/// Starts child processes, captures their output and ends them.

#include "process.hpp"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT(readability-identifier-naming)

namespace scenario {

namespace {

constexpr int PollIntervalMs = 5;
constexpr int SignalBase = 128;
constexpr std::size_t ReadBytes = 4096;

} // namespace

Process::Process(const std::string &Program,
                 const std::vector<std::string> &Arguments) {
  int PipeEnds[2] = {-1, -1};
  if (pipe2(PipeEnds, O_CLOEXEC) != 0) {
    throw std::runtime_error{"cannot create a pipe for " + Program};
  }
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_adddup2(&Actions, PipeEnds[1], STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&Actions, PipeEnds[1], STDERR_FILENO);
  std::vector<std::string> Argv{Program};
  Argv.insert(Argv.end(), Arguments.begin(), Arguments.end());
  std::vector<char *> Pointers;
  Pointers.reserve(Argv.size() + 1);
  for (auto &Argument : Argv) {
    Pointers.push_back(Argument.data());
  }
  Pointers.push_back(nullptr);
  const int Failure = posix_spawn(&Id, Program.c_str(), &Actions, nullptr,
                                  Pointers.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  close(PipeEnds[1]);
  Pipe = PipeEnds[0];
  if (Failure != 0) {
    close(Pipe);
    throw std::runtime_error{"cannot start " + Program};
  }
  Reader = std::thread{[this] { read(); }};
}

Process::~Process() {
  signal(SIGCONT);
  signal(SIGKILL);
  (void)wait(-1);
  // The end of the process ends the output, unless nobody reads it any more.
  if (Reader.joinable()) {
    Reader.join();
  }
  if (Pipe >= 0) {
    close(Pipe);
  }
}

void Process::stopReading() {
  Reading = false;
  if (Reader.joinable()) {
    Reader.join();
  }
}

void Process::stallOutput() {
  stopReading();
  fcntl(Pipe, F_SETPIPE_SZ, sysconf(_SC_PAGESIZE));
}

void Process::closeOutput() {
  stopReading();
  close(std::exchange(Pipe, -1));
}

void Process::read() {
  char Buffer[ReadBytes];
  while (Reading) {
    pollfd Event{Pipe, POLLIN, 0};
    if (poll(&Event, 1, PollIntervalMs) == 0) {
      continue;
    }
    const auto Result = ::read(Pipe, &Buffer[0], ReadBytes);
    if (Result <= 0 && errno != EINTR) {
      return;
    }
    const std::lock_guard Lock{Mutex};
    Output.append(&Buffer[0],
                  static_cast<std::size_t>(std::max<ssize_t>(Result, 0)));
  }
}

std::string Process::output() const {
  const std::lock_guard Lock{Mutex};
  return Output;
}

void Process::signal(int Number) {
  if (!ExitCode) {
    kill(Id, Number);
  }
}

std::optional<int> Process::wait(int TimeoutMs) {
  const auto Deadline =
      std::chrono::steady_clock::now() + std::chrono::milliseconds{TimeoutMs};
  while (!ExitCode) {
    int Status = 0;
    const auto Result = waitpid(Id, &Status, TimeoutMs < 0 ? 0 : WNOHANG);
    if (Result == Id) {
      ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status)
                                   : SignalBase + WTERMSIG(Status);
      break;
    }
    if (TimeoutMs >= 0 && std::chrono::steady_clock::now() >= Deadline) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{PollIntervalMs});
  }
  return ExitCode;
}

} // namespace scenario
