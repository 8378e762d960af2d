/// @file
/// Implementation of the event loop's outermost error handling.

#include "goldcrestnotch/kernel/run_loop.hpp"

#include <exception>
#include <string>

#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch {

void runLoop(boost::asio::io_context &Loop) {
  while (true) {
    try {
      Loop.run();
      return;
    } catch (const std::exception &Failure) {
      log(LogLevel::Error, "handler.failed",
          {{"cause", std::string{Failure.what()}}});
    }
  }
}

} // namespace goldcrestnotch
