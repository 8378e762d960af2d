/// @file
/// A target as it registers itself, and what this VM knows of it besides.

#pragma once

#include <cstdint>

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/http/message.hpp"
#include "goldcrestnotch/routing/configuration.hpp"

namespace goldcrestnotch::backend {

using routing::ServiceId;

/// @brief What a target says of itself.
struct Registration {
  TargetId Name;
  ServiceId Service;
  http::Endpoint Endpoint;
  DomainId Domain;
  VersionId Version;
  std::int64_t Capacity = 1;     ///< Requests that it runs at once.
  bool Leaving = false;          ///< Takes no new work.
  std::uint64_t Incarnation = 0; ///< Differs between two starts of one name.
};

/// @brief Which prompts a target is kept for.
enum class PromptKind : std::uint8_t {
  Any,   ///< The service has too few targets to part them.
  Short, ///< All but the longest.
  Long,
};

/// @brief A target with this VM's view of it.
///
/// Invariant: `InProgress` is what this VM has sent there and not seen end; it
/// outlives a change of the registration.
struct Target {
  Registration Registered;
  Instant RemovalDeadline = Instant::max(); ///< When a missing one is dropped.
  std::int64_t InProgress = 0;
  Instant PrefillEnd{}; ///< When all prompts sent to it should be read.
  std::uint32_t ConsecutiveFailures = 0; ///< In a row.
  Instant PausedUntil{};                 ///< Until then others go first.
  Instant FullUntil{}; ///< It refused for want of room; until then.
  PromptKind ReservedFor = PromptKind::Any;

  [[nodiscard]] bool missing() const noexcept {
    return RemovalDeadline != Instant::max();
  }
};

} // namespace goldcrestnotch::backend
