/// @file
/// Forward declarations of the peer module.

#pragma once

namespace goldcrestnotch {

class PeerTransport;
class Gossip;
class PeerService;

} // namespace goldcrestnotch
