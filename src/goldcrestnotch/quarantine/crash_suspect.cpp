/// @file
/// Fingerprints of requests.

#include "goldcrestnotch/quarantine/crash_suspect.hpp"

#include "goldcrestnotch/core/hash.hpp"

namespace goldcrestnotch::quarantine {

CrashSuspect fingerprint(const RequestIdentity &Source) noexcept {
  std::uint64_t Hash = 0;
  for (const auto Field : {Source.Method, Source.Host, Source.Path,
                           Source.Workspace, Source.Body}) {
    Hash = hashOf(Field, Hash);
  }
  return {Hash};
}

std::vector<CrashSuspect> RequestSuspects::all() const {
  std::vector<CrashSuspect> Result{Request};
  Result.insert(Result.end(), Parts.begin(), Parts.end());
  return Result;
}

} // namespace goldcrestnotch::quarantine
