/// @file
/// Connects this VM to a few other VMs, so that a VM that can't reach the
/// platform still receives configuration changes.

#pragma once

#include <map>

#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/kernel/kernel.hpp"
#include "goldcrestnotch/peer/gossip.hpp"
#include "goldcrestnotch/peer/socket.hpp"

namespace goldcrestnotch {

/// @brief The plug-in that runs the peer protocol; it runs entirely on the
/// control thread.
class PeerService final : public Plugin {
public:
  explicit PeerService(Kernel &Host);

  void start() override;

private:
  void run(boost::asio::yield_context Yield);
  void connect();
  void perform(const std::vector<PeerAction> &Actions);
  void perform(const PeerSend &Action);
  void perform(const PeerReject &Action);
  void perform(const PeerApplySnapshot &Action);
  void perform(const PeerSendSnapshot &Action);

  Kernel &Host;
  Gossip Protocol;
  PeerTransport Transport;
  /// Connections that this VM opened, by the name of the peer.
  std::map<VmId, PeerHandle> OutgoingConnections;
};

} // namespace goldcrestnotch
