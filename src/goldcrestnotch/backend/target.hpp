/// @file
/// A target's registration, and the local state that this VM keeps about it.

#pragma once

#include <cstdint>
#include <optional>

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/core/request_rate.hpp"
#include "goldcrestnotch/http/message.hpp"
#include "goldcrestnotch/routing/configuration.hpp"

namespace goldcrestnotch::backend {

using routing::ServiceId;

/// @brief The entry that a target writes to the registry.
struct Registration {
  TargetId Name;
  ServiceId Service;
  http::Endpoint Endpoint;
  DomainId Domain;
  VersionId Version;
  std::int64_t Capacity = 1;     ///< Number of requests that it runs at once.
  bool Leaving = false;          ///< It accepts no new requests.
  std::uint64_t Incarnation = 0; ///< Differs between two starts of one name.
  std::uint64_t Sequence = 0; ///< Number of the entry within the incarnation.
};

/// @brief The class of prompts that a target is reserved for.
enum class PromptKind : std::uint8_t {
  Any,   ///< The service has too few targets to reserve some for long prompts.
  Short, ///< Prompts below the length limit, and requests without a prompt.
  Long,  ///< Prompts at or above the length limit.
};

/// @brief A target as this VM sees it.
///
/// Invariant: `InProgress` counts the requests that this VM sent to the target
/// and that have not ended. An update of the registration does not reset it.
struct Target {
  /// After a failure, other targets are preferred for this long; the time
  /// doubles with each consecutive failure.
  static constexpr Millis MinBackoff{250};
  static constexpr std::uint32_t MaxBackoffDoublings = 4;

  Registration Registered;
  /// When a target whose registration is missing is removed.
  Instant RemovalDeadline = Instant::max();
  std::int64_t InProgress = 0;
  Instant PrefillEnd{}; ///< Estimate of when all prompts sent to it are read.
  std::uint32_t ConsecutiveFailures = 0;
  Instant PausedUntil{}; ///< Other targets are preferred until then.
  Instant FullUntil{};   ///< It refused a request for lack of capacity; other
                         ///< targets are preferred until then.
  /// The target or another VM says that it leaves. Stays set until another
  /// incarnation, even if a record from before arrives later.
  bool ToldLeaving = false;
  /// It asked this VM for no requests until then.
  Instant NoRequestsUntil{};
  PromptKind ReservedFor = PromptKind::Any;
  /// Requests that the target takes from all VMs together, as it stated last;
  /// nothing while it states none.
  std::optional<RequestRate> RateLimit;
  Instant RateLimitLearned{}; ///< When this VM learned or lost the limit.
  /// It is not asked for a permit before, while other targets are available.
  Instant PermitRetry{};
  /// Requests that this VM has sent to it since it began to state a limit.
  std::uint64_t SentWhileLimited = 0;

  /// @brief Records that it could not be reached, or lost a response.
  void recordFailure(Instant Now) noexcept {
    PausedUntil = Now + MinBackoff * (1U << std::min(ConsecutiveFailures,
                                                     MaxBackoffDoublings));
    ++ConsecutiveFailures;
  }
  /// @brief Whether this VM may send it a request now.
  [[nodiscard]] bool accepts(Instant Now) const noexcept {
    return !leaving() && Now >= NoRequestsUntil;
  }
  /// @brief Whether it accepts no new requests.
  [[nodiscard]] bool leaving() const noexcept {
    return Registered.Leaving || ToldLeaving;
  }
  /// @brief Whether the registration has disappeared from the registry.
  [[nodiscard]] bool missing() const noexcept {
    return RemovalDeadline != Instant::max();
  }
};

} // namespace goldcrestnotch::backend
