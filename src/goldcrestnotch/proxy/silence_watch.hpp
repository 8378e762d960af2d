/// @file
/// Leaves a target that sends nothing for a long time, if its stream can go on
/// at another one.

#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "goldcrestnotch/proxy/loop_delay.hpp"
#include "goldcrestnotch/proxy/target_connection.hpp"

namespace goldcrestnotch::proxy {

/// @brief Watches the connection to a target while its stream is read, and ends
/// the read once another target is to be asked. The connection stays open.
///
/// A target is silent only if no bytes of it wait to be read: an event loop
/// that is late reads them late. The time in which this VM stood still does not
/// count: a target on the same host may have stood still as well.
class SilenceWatch {
public:
  /// @param OnSilence Called again and again while the target is silent.
  /// Returns whether to leave it; silence alone is no reason to end a stream.
  /// @param SilentSince When the target sent something last.
  SilenceWatch(boost::asio::io_context &Loop,
               std::shared_ptr<TargetConnection> Connection,
               std::function<bool()> OnSilence, const LoopDelay &Delay,
               Instant SilentSince);
  ~SilenceWatch();
  SilenceWatch(const SilenceWatch &) = delete;
  SilenceWatch &operator=(const SilenceWatch &) = delete;

  /// @brief Records that a read begins.
  void beginRead(Instant SilentSince) noexcept;
  /// @brief Records that the read has ended. Silence does not count until the
  /// next one.
  void endRead() noexcept;
  /// @brief Whether the read was ended because of the silence.
  [[nodiscard]] bool left() const noexcept;
  /// @brief Watches on after the end of a read.
  void resume(Instant Now);

private:
  class State;
  std::shared_ptr<State> Watched; ///< Shared with the timer's handler.
};

} // namespace goldcrestnotch::proxy
