/// @file
/// Forward declarations of the proxy module.

#pragma once

namespace goldcrestnotch::proxy {

struct HeaderNames;
struct ProxyContext;
struct Replacement;
class CallerConnection;
class Forwarder;
class TargetConnection;
class TargetProbe;
class ConnectionPool;
class Listener;
class ReplacementSearch;
class ShutdownSchedule;
class SilenceWatch;
class TargetPaths;
class Upstream;
class BufferBudget;

} // namespace goldcrestnotch::proxy
