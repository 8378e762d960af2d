/// @file
/// Finds a target that can go on with a stream before the silent one is left.

#pragma once

#include <memory>
#include <string>

#include "goldcrestnotch/backend/target.hpp"
#include "goldcrestnotch/proxy/proxy_context.hpp"
#include "goldcrestnotch/proxy/target_connection.hpp"

namespace goldcrestnotch::proxy {

/// @brief A target and a new connection to it; both are null or none is.
struct Replacement {
  std::shared_ptr<backend::Target> Target;
  std::shared_ptr<TargetConnection> Connection;
};

/// @brief Opens connections to candidates, one at a time.
///
/// A connection that was kept may lead to a target that is down as well, so
/// only a new one tells that its target can take a request.
class ReplacementSearch {
public:
  explicit ReplacementSearch(ProxyContext &Context);

  /// @brief Begins to connect to a candidate, unless a connection is being
  /// opened. A candidate that can't be reached, or that closes the connection
  /// before it is taken, is paused.
  void begin(const std::shared_ptr<backend::Target> &Candidate);
  /// @brief Whether a connection is open and has not been taken.
  [[nodiscard]] bool found();
  /// @brief The connection that was found, with its target.
  [[nodiscard]] Replacement take();

private:
  struct State {
    bool Connecting = false;
    Replacement Found;
  };

  /// @brief Pauses a candidate, unless this VM is cut off from all.
  static void fail(ProxyContext &Context, backend::Target &Candidate,
                   const std::string &Cause);

  ProxyContext &Context;
  std::shared_ptr<State> Search; ///< Shared with the connecting coroutine.
};

} // namespace goldcrestnotch::proxy
