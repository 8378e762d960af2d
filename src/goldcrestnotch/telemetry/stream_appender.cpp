/// @file
/// Implementation of the log4cplus appender for standard streams.

#include "goldcrestnotch/telemetry/stream_appender.hpp"

#include <poll.h>
#include <unistd.h>

namespace goldcrestnotch {

bool StreamAppender::writable() const noexcept {
  pollfd Stream{Descriptor, POLLOUT, 0};
  return ::poll(&Stream, 1, 0) == 1 && (Stream.revents & POLLOUT) != 0 &&
         (Stream.revents & POLLERR) == 0;
}

void StreamAppender::append(const log4cplus::spi::InternalLoggingEvent &Event) {
  if (!writable()) {
    ++*Dropped;
    return;
  }
  const auto Reported = *Dropped;
  const auto &Line = formatEvent(Event);
  const bool Fits = Line.size() <= MaxLineBytes;
  if (!Fits || ::write(Descriptor, Line.data(), Line.size()) < 0) {
    *Dropped = Reported + 1;
  }
}

} // namespace goldcrestnotch
