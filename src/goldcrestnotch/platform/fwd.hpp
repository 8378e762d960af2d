/// @file
/// Forward declarations of the platform module.

#pragma once

namespace goldcrestnotch {

class LogClient;
struct LogPage;
struct LogRecord;
template <typename StateType> class Follower;

} // namespace goldcrestnotch
