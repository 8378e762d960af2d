/// @file
/// Configuration changes that operators can plan, and the records of the
/// `config` stream that carry them.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/core/tokens.hpp"
#include "goldcrestnotch/http/message.hpp"

namespace goldcrestnotch {

/// @brief A customer. Only a digest of its API key is stored.
struct Workspace {
  WorkspaceId Name;
  std::string KeyDigest;
};

/// @brief The kind of requests that a route serves.
enum class RouteKind : std::uint8_t { Chat, Service };

/// @brief A named group of targets that requests are sent to.
struct Route {
  RouteId Name;
  RouteKind Kind = RouteKind::Chat;
  bool Idempotent = true; ///< A call may run more than once.
  VersionId Version;      ///< New requests are sent to this version.
};

/// @brief A back end that serves one version of a route.
struct Target {
  TargetId Name;
  RouteId Serves;
  VersionId Version;
  http::Endpoint Address;
  DomainId Domain;
  std::uint32_t Capacity = 1; ///< Limit of concurrent requests over all VMs.
  bool Leaving = false;       ///< It gets no new requests.
  bool Fenced = false; ///< It rejects requests with an outdated fencing number.
};

/// @brief Moves a route from its current version to another one until a
/// deadline.
struct Move {
  MoveId Name;
  RouteId On;
  VersionId From;
  VersionId To;
  LogTime Deadline{};
};

/// @brief Adds tokens to the budget of a workspace. A negative amount deducts
/// tokens.
struct BudgetTopUp {
  WorkspaceId Name;
  Tokens Amount;
};

/// @brief Removes a workspace, route or target.
struct Removal {
  enum class Kind : std::uint8_t { Workspace, Route, Target } What{};
  std::string Name;
};

using Change =
    std::variant<Workspace, Route, Target, Move, BudgetTopUp, Removal>;

/// @brief A list of changes that an operator proposes. It takes effect once it
/// is confirmed and does not conflict with changes made after its base.
struct Plan {
  PlanId Name;
  std::string Operator;
  std::uint64_t Base = 0; ///< Catalog version that the plan is based on.
  std::vector<Change> Changes;
};

/// @brief Confirms that a plan shall be applied.
struct Confirmation {
  PlanId Name;
  std::string Operator;
};

/// @brief Reports the end of a move. A completed move sets the version of its
/// route.
struct MoveEnded {
  MoveId Name;
  bool Done = false; ///< The move was completed; false if it was rolled back.
};

/// @brief A record of the `config` stream.
using ConfigRecord = std::variant<Plan, Confirmation, MoveEnded>;

/// @brief The digest of an API key. The catalog stores it instead of the key.
[[nodiscard]] std::string keyDigest(std::string_view Key);

/// @brief The subject that a change modifies, such as `workspace:stall-9`.
/// Changes of the same subject can conflict. The subject of a move is its
/// route.
[[nodiscard]] std::string subjectOf(const Change &Source);

/// @brief Formats a change as one line of text for operators, without the key
/// digest.
[[nodiscard]] std::string describe(const Change &Source);

/// @brief Decodes a list of changes from a JSON array.
/// @throws std::invalid_argument if the text is invalid; the message lists
/// every fault that was found.
[[nodiscard]] std::vector<Change> decodeChanges(std::string_view Text);

/// @brief Encodes a list of changes as a JSON array.
[[nodiscard]] std::string encode(const std::vector<Change> &Source);
/// @brief Encodes a record of the `config` stream as JSON.
[[nodiscard]] std::string encode(const ConfigRecord &Source);
/// @brief Decodes a record of the `config` stream.
/// @throws std::invalid_argument if the text is not a valid record.
[[nodiscard]] ConfigRecord decodeConfig(std::string_view Text);

} // namespace goldcrestnotch
