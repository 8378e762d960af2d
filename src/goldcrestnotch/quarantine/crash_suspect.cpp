/// @file
/// Fingerprints of requests.

#include "goldcrestnotch/quarantine/crash_suspect.hpp"

#include <string>

#include "goldcrestnotch/core/hash.hpp"

namespace goldcrestnotch::quarantine {

CrashSuspect fingerprint(const RequestIdentity &Source) {
  // Line ends separate the fields: only a body can contain one.
  std::string Text;
  for (const auto Field :
       {Source.Method, Source.Host, Source.Path, Source.Workspace}) {
    Text += Field;
    Text += '\n';
  }
  return {hashOf(Text + std::to_string(hashOf(Source.Body)))};
}

std::vector<CrashSuspect> RequestSuspects::all() const {
  std::vector<CrashSuspect> Result{Request};
  Result.insert(Result.end(), Parts.begin(), Parts.end());
  return Result;
}

} // namespace goldcrestnotch::quarantine
