/// @file
/// Forward declarations of the platform module.

#pragma once

namespace goldcrestnotch {

class LogClient;
struct LogPage;
struct LogRecord;
template <typename Fold> class Follower;

} // namespace goldcrestnotch
