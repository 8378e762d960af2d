/// @file
/// The rollout plug-in.

#include "goldcrestnotch/rollout/service.hpp"

#include <nlohmann/json.hpp>

namespace goldcrestnotch {

namespace internal {

static const RegisterPlugin<RolloutService> Registered{Stage::Fleet, "rollout"};

} // namespace internal

VersionId RolloutService::versionFor(const Route &On, const RequestId &, bool) {
  return On.Version;
}

VersionId RolloutService::settledVersion(const Route &On) const {
  return On.Version;
}

nlohmann::json RolloutService::status() const {
  return nlohmann::json::array();
}

void RolloutService::observe(const Observation &Seen) {
  Host.metrics().count("requests_total{route=\"" + Seen.On.str() +
                       "\",version=\"" + Seen.Version.str() + "\",failed=\"" +
                       (Seen.Failed ? "1" : "0") + "\"}");
}

} // namespace goldcrestnotch
