/// @file
/// Opens connections to targets, directly or through another VM while this VM
/// has lost its links to the targets.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "goldcrestnotch/proxy/proxy_context.hpp"
#include "goldcrestnotch/relay/relay_choice.hpp"
#include "goldcrestnotch/relay/target_reach.hpp"

namespace goldcrestnotch::proxy {

/// @brief What is known of a target whose connection broke or was refused.
enum class TargetState : std::uint8_t {
  Running, ///< It takes connections from this VM.
  Ended,   ///< Nothing listens at its address.
  Silent,  ///< It answers neither this VM nor another one.
  Unknown, ///< This VM's own links may be down.
};

/// @brief The ways to the targets.
class TargetPaths {
public:
  /// Limit for opening a connection; targets are in the same region as the VM.
  static constexpr Millis ConnectTimeout{250};

  /// @param RelayPort The port at which all VMs relay; zero for none.
  TargetPaths(ProxyContext &Context, std::uint16_t RelayPort)
      : Context{Context}, RelayPort{RelayPort} {}

  /// @brief Opens a connection to a target. If nothing listens there, the
  /// target has ended.
  /// @param Limit Deadline of the request that needs the connection.
  /// @throws Error with the cause, if the target can't be reached.
  [[nodiscard]] std::shared_ptr<TargetConnection>
  open(boost::asio::yield_context Yield, const backend::Registration &Target,
       Instant Limit) {
    return openBy(Yield, Target, Limit,
                  std::min(Limit, DecisionClock::now() + ConnectTimeout));
  }
  /// @brief Opens a connection to a target on behalf of another VM.
  /// @throws Error with the code `CutOff` if this VM's links may be down, and
  /// otherwise with the cause.
  [[nodiscard]] std::shared_ptr<TargetConnection>
  openForOther(boost::asio::yield_context Yield,
               const backend::Registration &Target);
  /// @brief Finds out whether a target is running. The quarantine is told if it
  /// has ended.
  /// @param Limit When a target that does not answer counts as silent.
  [[nodiscard]] TargetState verify(boost::asio::yield_context Yield,
                                   const backend::Registration &Target,
                                   Instant Limit);
  /// @brief The same, with the limit for opening a connection.
  [[nodiscard]] TargetState verify(boost::asio::yield_context Yield,
                                   const backend::Registration &Target) {
    return verify(Yield, Target, DecisionClock::now() + ConnectTimeout);
  }
  /// @brief Whether this VM has lost its links to the targets.
  [[nodiscard]] bool cutOff() const noexcept { return Reach.cutOff(); }
  /// @brief Whether idle connections to targets can be used.
  [[nodiscard]] bool keptUsable(Instant Now) const noexcept {
    return Reach.keptUsable(Now);
  }
  /// @brief Records bytes from a target.
  void observeBytes(Instant Now, const TargetConnection &From) noexcept {
    if (!From.Relayed) {
      Reach.observeBytes(Now);
    }
  }
  /// @brief Replaces the list of VMs that may relay.
  /// @param Addresses IP addresses.
  void updateRelays(std::vector<std::string> Addresses) {
    Relays.update(std::move(Addresses));
  }
  /// @brief Finds out whether the links are lost or back, if there is reason to
  /// ask.
  void maintain(Instant Now);

  /// Code of the error if this VM and all that may relay for it are cut off.
  static constexpr const char *CutOff = "cut_off_from_targets";

private:
  /// @brief What another VM answered.
  struct RelayAnswer {
    int Status = 0; ///< Zero if it did not answer.
    std::shared_ptr<TargetConnection> Connection;
  };

  /// @param DirectLimit Deadline of a connection without a relay.
  /// @throws Error with the cause.
  [[nodiscard]] std::shared_ptr<TargetConnection>
  openBy(boost::asio::yield_context Yield, const backend::Registration &Target,
         Instant Limit, Instant DirectLimit);
  /// @throws Error with the cause.
  [[nodiscard]] std::shared_ptr<TargetConnection>
  openDirect(boost::asio::yield_context Yield,
             const backend::Registration &Target, Instant Limit);
  /// @throws Error with the cause.
  [[nodiscard]] std::shared_ptr<TargetConnection>
  openRelayed(boost::asio::yield_context Yield,
              const backend::Registration &Target, Instant Limit);
  [[nodiscard]] RelayAnswer ask(boost::asio::yield_context Yield,
                                const std::string &Address,
                                const backend::Registration &Target,
                                Instant Limit);
  /// @brief Whether a failure to connect is due to the target: this VM has been
  /// in contact with another one lately, or can connect to one now.
  [[nodiscard]] bool linksWork(boost::asio::yield_context Yield,
                               const TargetId &Failed,
                               relay::ConnectFailure Failure);
  /// @brief Connects to random targets until one succeeds or enough have
  /// failed.
  void tryOthers(boost::asio::yield_context Yield, const TargetId &Failed);
  void logChange(bool WasCutOff);

  ProxyContext &Context;
  std::uint16_t RelayPort;
  relay::TargetReach Reach;
  relay::RelayChoice Relays;
  bool Trying = false; ///< A coroutine tries whether the links work.
};

} // namespace goldcrestnotch::proxy
