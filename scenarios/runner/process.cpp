/// @file
/// Starting and ending of processes.

#include "process.hpp"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT(readability-identifier-naming)

namespace scenario {

namespace {

constexpr int PollMillis = 5;
constexpr int SignalBase = 128;
constexpr std::size_t ReadBytes = 4096;

} // namespace

Process::Process(const std::string &Program,
                 const std::vector<std::string> &Words) {
  int Ends[2] = {-1, -1};
  if (pipe2(Ends, O_CLOEXEC) != 0) {
    throw std::runtime_error{"no pipe for " + Program};
  }
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_adddup2(&Actions, Ends[1], STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&Actions, Ends[1], STDERR_FILENO);
  std::vector<std::string> Copy{Program};
  Copy.insert(Copy.end(), Words.begin(), Words.end());
  std::vector<char *> Pointers;
  Pointers.reserve(Copy.size() + 1);
  for (auto &Word : Copy) {
    Pointers.push_back(Word.data());
  }
  Pointers.push_back(nullptr);
  const int Failure = posix_spawn(&Id, Program.c_str(), &Actions, nullptr,
                                  Pointers.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  close(Ends[1]);
  Pipe = Ends[0];
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
  Reader.join();
  close(Pipe);
}

void Process::read() {
  char Buffer[ReadBytes];
  while (true) {
    const auto Got = ::read(Pipe, &Buffer[0], ReadBytes);
    if (Got <= 0 && errno != EINTR) {
      return;
    }
    const std::lock_guard Lock{Mutex};
    Text.append(&Buffer[0],
                static_cast<std::size_t>(std::max<ssize_t>(Got, 0)));
  }
}

std::string Process::output() const {
  const std::lock_guard Lock{Mutex};
  return Text;
}

void Process::signal(int Number) {
  if (!Code) {
    kill(Id, Number);
  }
}

std::optional<int> Process::wait(int Millis) {
  const auto Until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds{Millis};
  while (!Code) {
    int Status = 0;
    const auto Got = waitpid(Id, &Status, Millis < 0 ? 0 : WNOHANG);
    if (Got == Id) {
      Code = WIFEXITED(Status) ? WEXITSTATUS(Status)
                               : SignalBase + WTERMSIG(Status);
      break;
    }
    if (Millis >= 0 && std::chrono::steady_clock::now() >= Until) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{PollMillis});
  }
  return Code;
}

} // namespace scenario
