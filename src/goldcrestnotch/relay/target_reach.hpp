/// @file
/// Decides whether a VM has lost its links to the targets, as opposed to
/// targets that are down.

#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch::relay {

/// @brief How an attempt to connect to a target failed.
enum class ConnectFailure : std::uint8_t {
  Refused, ///< Nothing seems to listen there, or the connection was reset.
  TimedOut,
};

/// @brief What this VM knows about its own links to the targets. Does no I/O
/// and reads no clock.
///
/// A VM is cut off if it failed to connect to several targets in a row and
/// another VM reaches one of them. A connection that it opens itself ends that.
class TargetReach {
public:
  /// Number of different targets that a VM must fail to connect to.
  static constexpr std::size_t MinFailedTargets = 2;
  /// A VM whose last sign of life of any target is older may be cut off.
  static constexpr Millis ContactTimeout{500};
  /// Failures that are older say nothing about the links now.
  static constexpr Millis FailureMemory{3'000};

  [[nodiscard]] bool cutOff() const noexcept { return CutOff; }
  /// @brief Whether connections that were opened before can be used.
  [[nodiscard]] bool keptUsable(Instant Now) const noexcept {
    return !CutOff || (LastFailure == ConnectFailure::Refused &&
                       Now - LastHeard < ContactTimeout);
  }
  /// @brief Whether a failure may be due to this VM's own links.
  [[nodiscard]] bool doubtful(Instant Now,
                              ConnectFailure Failure) const noexcept {
    // While new connections are refused, old ones may live on.
    const auto Contact = Failure == ConnectFailure::Refused
                             ? LastConnect
                             : std::max(LastConnect, LastHeard);
    return CutOff || Now - Contact >= ContactTimeout;
  }
  /// @brief Whether nothing has been heard of any target although a request
  /// waits for a response.
  /// @param OldestSent When the oldest request that waits was sent;
  /// `Instant::max()` if none does.
  [[nodiscard]] bool silent(Instant Now, Instant OldestSent) const noexcept {
    return OldestSent <= Now - ContactTimeout &&
           Now - std::max(LastHeard, LastConnect) >= ContactTimeout;
  }

  /// @brief The target that this VM failed to connect to last, if it has not
  /// reached any since.
  [[nodiscard]] std::optional<TargetId> lastFailedTarget() const {
    return FailedTargets.empty() ? std::nullopt : std::optional{LastFailed};
  }

  /// @brief Records that this VM opened a connection to a target itself.
  void observeConnect(Instant Now) noexcept {
    LastConnect = Now;
    FailedTargets.clear();
    CutOff = false;
  }
  /// @brief Records bytes on a connection that this VM opened itself.
  void observeBytes(Instant Now) noexcept { LastHeard = Now; }
  /// @brief Records that this VM failed to connect to a target.
  void observeFailure(Instant Now, const TargetId &Target,
                      ConnectFailure Failure) {
    if (Now - LastFailureTime > FailureMemory) {
      FailedTargets.clear();
    }
    LastFailureTime = Now;
    LastFailure = Failure;
    LastFailed = Target;
    FailedTargets.insert(Target);
  }
  /// @brief Records that another VM reached a target that this one failed to
  /// connect to.
  void observeRelayed() noexcept {
    CutOff = CutOff || FailedTargets.size() >= MinFailedTargets;
  }

private:
  bool CutOff = false;
  Instant LastConnect{};
  Instant LastHeard{};
  Instant LastFailureTime{};
  ConnectFailure LastFailure = ConnectFailure::TimedOut;
  TargetId LastFailed;
  /// Targets that could not be connected to since the last success.
  std::set<TargetId> FailedTargets;
};

} // namespace goldcrestnotch::relay
