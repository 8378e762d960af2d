/// @file
/// Says which version of a route serves a request.

#pragma once

#include <nlohmann/json_fwd.hpp>

#include "goldcrestnotch/catalog/change.hpp"
#include "goldcrestnotch/kernel/kernel.hpp"
#include "goldcrestnotch/rollout/observation.hpp"

namespace goldcrestnotch {

/// @brief The plug-in that carries version moves out.
class RolloutService final : public Plugin {
public:
  explicit RolloutService(Kernel &Host) : Host{Host} { Host.emplace(*this); }

  /// @brief The version for a request.
  /// @param First Whether this is the request's first try.
  [[nodiscard]] VersionId versionFor(const Route &On, const RequestId &Request,
                                     bool First);
  /// @brief The version that a route is at, moves that are done included.
  [[nodiscard]] VersionId settledVersion(const Route &On) const;
  /// @brief The moves and their ends, for operators.
  /// @warning For the control thread only.
  [[nodiscard]] nlohmann::json status() const;
  /// @brief Takes evidence in. From any thread.
  void observe(const Observation &Seen);

  void start() override {}

private:
  Kernel &Host;
};

} // namespace goldcrestnotch
