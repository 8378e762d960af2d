/// @file
/// What operators can change, and the records by which they do.

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

/// @brief A customer. Its key itself is not kept.
struct Workspace {
  WorkspaceId Name;
  std::string KeyDigest;
};

/// @brief What a route's targets are.
enum class RouteKind : std::uint8_t { Chat, Service };

/// @brief A named way to targets.
struct Route {
  RouteId Name;
  RouteKind Kind = RouteKind::Chat;
  bool Idempotent = true; ///< Whether a call may run more than once.
  VersionId Version;      ///< The version that new requests go to.
};

/// @brief A back end.
struct Target {
  TargetId Name;
  RouteId Serves;
  VersionId Version;
  http::Endpoint Where;
  DomainId Domain;
  std::uint32_t Capacity = 1; ///< Requests at once, over all VMs.
  bool Leaving = false;       ///< Gets no new work.
  bool Fenced = false;        ///< Refuses orders with an old fencing number.
};

/// @brief A route's move from its version to another, by a set time.
struct Move {
  MoveId Name;
  RouteId On;
  VersionId From;
  VersionId To;
  LogTime Deadline{};
};

/// @brief Adds tokens to a workspace's budget.
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

/// @brief A stated intent, with the base it was planned on.
struct Plan {
  PlanId Name;
  std::string Operator;
  std::uint64_t Base = 0; ///< Catalog version.
  std::vector<Change> Changes;
};

/// @brief An operator's word that a plan shall be carried out.
struct Confirmation {
  PlanId Name;
  std::string Operator;
};

/// @brief A move has ended; a done one sets its route's version.
struct MoveEnded {
  MoveId Name;
  bool Done = false;
};

/// @brief A record of the `config` stream.
using ConfigRecord = std::variant<Plan, Confirmation, MoveEnded>;

/// @brief What the catalog keeps of a workspace's key.
[[nodiscard]] std::string keyDigest(std::string_view Key);

/// @brief The thing that a change is about, such as `workspace:stall-9`.
[[nodiscard]] std::string subjectOf(const Change &What);

/// @brief One line for people.
[[nodiscard]] std::string describe(const Change &What);

/// @brief Reads an operator's list of changes (a JSON array).
/// @throws std::invalid_argument naming every fault.
[[nodiscard]] std::vector<Change> decodeChanges(std::string_view Text);

[[nodiscard]] std::string encode(const std::vector<Change> &Source);
[[nodiscard]] std::string encode(const ConfigRecord &Source);
/// @throws std::invalid_argument if the text is no record.
[[nodiscard]] ConfigRecord decodeConfig(std::string_view Text);

} // namespace goldcrestnotch
