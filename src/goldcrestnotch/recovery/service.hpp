/// @file
/// Runs a sweeper a shard and asks the engines for dead holders' streams.

#pragma once

#include <vector>

#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/kernel/kernel.hpp"
#include "goldcrestnotch/recovery/sweeper.hpp"

namespace goldcrestnotch {

/// @brief The plug-in that brings grants of dead VMs back.
class RecoveryService final : public Plugin {
public:
  explicit RecoveryService(Kernel &Host);

  void start() override;

private:
  void run(boost::asio::yield_context Yield);
  void sweep(boost::asio::yield_context Yield, std::size_t Shard);
  [[nodiscard]] SweepReport ask(boost::asio::yield_context Yield,
                                const HolderId &Dead);

  Kernel &Host;
  std::vector<Sweeper> Sweepers; ///< One a shard.
};

} // namespace goldcrestnotch
