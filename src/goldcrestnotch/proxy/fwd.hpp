/// @file
/// Forward declarations of the proxy module.

#pragma once

namespace goldcrestnotch::proxy {

struct HeaderNames;
struct ProxyContext;
class CallerLink;
class Forwarder;
class Link;
class LinkPool;
class Listener;

} // namespace goldcrestnotch::proxy
