/// @file
/// Runs one sweeper for each shard of the ledger and asks the engines for the
/// streams of dead holders.

#pragma once

#include <vector>

#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/kernel/kernel.hpp"
#include "goldcrestnotch/recovery/sweeper.hpp"

namespace goldcrestnotch {

/// @brief Plug-in that recovers the grants of dead VMs.
class RecoveryService final : public Plugin {
public:
  explicit RecoveryService(Kernel &Host);

  void start() override;

private:
  void sweepLoop(boost::asio::yield_context Yield);
  /// @brief Retires holders and settles dead ones in one shard.
  void sweepShard(boost::asio::yield_context Yield, std::size_t Index);
  /// @brief Asks all engines for the streams of a dead holder.
  [[nodiscard]] SweepReport queryEngines(boost::asio::yield_context Yield,
                                         const HolderId &Dead);

  Kernel &Host;
  std::vector<Sweeper> Sweepers; ///< One for each shard.
};

} // namespace goldcrestnotch
