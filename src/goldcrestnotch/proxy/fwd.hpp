/// @file
/// Forward declarations of the proxy module.

#pragma once

namespace goldcrestnotch::proxy {

struct HeaderNames;
struct ProxyContext;
class CallerConnection;
class Forwarder;
class TargetConnection;
class TargetProbe;
class ConnectionPool;
class Listener;
class ShutdownSchedule;
class SilenceWatch;
class Upstream;
class BufferBudget;

} // namespace goldcrestnotch::proxy
