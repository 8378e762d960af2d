/// @file
/// Settings of the operating system that a daemon needs before it does anything
/// else.

#pragma once

namespace goldcrestnotch {

/// @brief Ignores SIGPIPE, which a closed log pipe causes, and SIGHUP until a
/// handler is installed. Opens the standard streams that are closed, since a
/// socket could otherwise take their place and receive log lines.
void setUpProcess() noexcept;

} // namespace goldcrestnotch
