/// @file
/// Runs an event loop in spite of unexpected errors.

#pragma once

#include <boost/asio/io_context.hpp>

namespace goldcrestnotch {

/// @brief Runs an event loop until it is stopped. An exception that leaves a
/// handler is logged and ends that handler only.
void runLoop(boost::asio::io_context &Loop);

} // namespace goldcrestnotch
