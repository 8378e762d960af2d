/// @file
/// Signals and standard streams of a daemon.

#include "goldcrestnotch/kernel/process_setup.hpp"

#include <csignal>

#include <fcntl.h>
#include <unistd.h>

namespace goldcrestnotch {

namespace internal {

static void ignoreSignals() noexcept {
  std::signal(SIGHUP, SIG_IGN);
  std::signal(SIGPIPE, SIG_IGN);
}

static void ignoreSignalsEarly(int /*Count*/, char ** /*Arguments*/,
                               char ** /*Environment*/) {
  ignoreSignals();
}

/// The initializers of the shared libraries take several milliseconds, in which
/// a SIGHUP would end the process. The functions in this section run before
/// them.
[[gnu::section(".preinit_array"),
  gnu::used]] static void (*const EarlySetup)(int, char **,
                                              char **) = &ignoreSignalsEarly;

} // namespace internal

void setUpProcess() noexcept {
  internal::ignoreSignals();
  for (int Stream = STDIN_FILENO; Stream <= STDERR_FILENO; ++Stream) {
    if (::fcntl(Stream, F_GETFD) < 0) {
      // The lowest free descriptor is this one. If it can't be opened, output
      // is lost but nothing else.
      (void)::open("/dev/null", Stream == STDIN_FILENO ? O_RDONLY : O_WRONLY);
    }
  }
}

} // namespace goldcrestnotch
