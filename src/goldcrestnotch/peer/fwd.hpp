/// @file
/// Forward declarations of the peer module.

#pragma once

namespace goldcrestnotch {

class PeerHub;
class Gossip;
class PeerService;

} // namespace goldcrestnotch
