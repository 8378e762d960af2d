/// @file
/// Ids of what may crash targets, and of runs of targets, as VMs exchange them.

#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace goldcrestnotch::quarantine {

/// @brief What may crash the targets that run a request: the request itself, or
/// a part of its prompt that other requests share.
struct CrashSuspect {
  std::uint64_t Hash = 0;

  auto operator<=>(const CrashSuspect &) const = default;
};

/// @brief What stays the same when a caller sends a request again.
struct RequestIdentity {
  std::string_view Method;
  std::string_view Host;
  std::string_view Path; ///< With the query.
  std::string_view Workspace;
  std::string_view Body;
};

/// @brief The suspect that stands for a whole request.
[[nodiscard]] CrashSuspect fingerprint(const RequestIdentity &Source) noexcept;

/// @brief All suspects of one request.
struct RequestSuspects {
  CrashSuspect Request;            ///< The whole request.
  std::vector<CrashSuspect> Parts; ///< Parts of its prompt that others share.

  [[nodiscard]] std::vector<CrashSuspect> all() const;
};

/// @brief One run of a target, from its start to its end.
struct TargetRun {
  std::uint64_t NameHash = 0; ///< `hashOf` the target's name.
  std::uint64_t Incarnation = 0;

  auto operator<=>(const TargetRun &) const = default;
};

} // namespace goldcrestnotch::quarantine
