/// @file
/// Forward declarations of the telemetry module.

#pragma once

namespace goldcrestnotch {

class Metrics;
class Span;
struct TraceContext;

} // namespace goldcrestnotch
