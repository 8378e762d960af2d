/// @file
/// Finds out whether a target that sends nothing has ended.

#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "goldcrestnotch/backend/target.hpp"
#include "goldcrestnotch/proxy/proxy_context.hpp"

namespace goldcrestnotch::proxy {

/// @brief Opens connections to silent targets and reports those that have
/// ended to the quarantine. Targets that accept a connection are only slow.
class TargetProbe {
public:
  explicit TargetProbe(ProxyContext &Context) : Context{Context} {}

  /// @brief Begins to probe a target, unless it was probed a moment ago.
  void probe(const backend::Registration &Target);

private:
  void connect(boost::asio::yield_context Yield,
               const backend::Registration &Target);

  ProxyContext &Context;
  /// When the runs that were probed may be probed again.
  std::map<std::pair<TargetId, std::uint64_t>, Instant> NextProbes;
};

} // namespace goldcrestnotch::proxy
