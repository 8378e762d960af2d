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
  void act(const std::vector<PeerAction> &Actions);
  void act(const PeerSend &One);
  void act(const PeerReject &One);
  void act(const PeerAdopt &One);
  void act(const PeerHelp &One);

  Kernel &Host;
  Gossip Rules;
  PeerHub Hub;
  std::map<VmId, PeerHandle> Dialled; ///< Connections that this VM opened.
};

} // namespace goldcrestnotch
