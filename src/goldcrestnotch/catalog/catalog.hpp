/// @file
/// The published configuration, built by applying the records of the `config`
/// stream in order: workspaces, routes, targets, moves and the state of recent
/// plans.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrestnotch/catalog/change.hpp"
#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch {

/// @brief The state of a plan. Snapshots store the numeric value.
enum class PlanState : std::uint8_t {
  Stated,    ///< The plan is recorded but not yet confirmed.
  Accepted,  ///< The plan was confirmed and its changes were applied.
  Conflicted ///< The plan was confirmed but rejected because of conflicts.
};

/// @brief A plan and its state.
struct PlanEntry {
  Plan Stated;
  PlanState State = PlanState::Stated;
  LogTime Since{};           ///< Time of the record that set the current state.
  std::uint64_t Version = 0; ///< Catalog version at acceptance, or 0.
  std::vector<std::string> Conflicts; ///< Why the plan was rejected.
};

/// @brief A confirmed move of a route and whether it has ended.
struct MoveEntry {
  Move Order;
  std::uint64_t Version = 0; ///< Catalog version at confirmation.
  LogTime Since{};           ///< Time of confirmation.
  bool Ended = false;
};

/// @brief The configuration after a prefix of the `config` stream. The same
/// records give the same catalog on every VM.
class Catalog {
public:
  /// @brief Applies a record. A record whose offset was already applied is
  /// ignored.
  void apply(std::uint64_t Offset, LogTime When, const ConfigRecord &Record);
  /// @brief Skips a record that cannot be decoded.
  void skip(std::uint64_t Offset) noexcept;

  /// @brief The offset after the last record that was applied or skipped.
  [[nodiscard]] std::uint64_t next() const noexcept { return NextOffset; }
  /// @brief The version in force. It increases with every accepted plan and
  /// every completed move that changes a route.
  [[nodiscard]] std::uint64_t version() const noexcept { return Version; }

  [[nodiscard]] const std::map<WorkspaceId, Workspace> &
  workspaces() const noexcept {
    return Workspaces;
  }
  [[nodiscard]] const std::map<RouteId, Route> &routes() const noexcept {
    return Routes;
  }
  [[nodiscard]] const std::map<TargetId, Target> &targets() const noexcept {
    return Targets;
  }
  [[nodiscard]] const std::map<MoveId, MoveEntry> &moves() const noexcept {
    return Moves;
  }
  /// @brief The entry of a plan, or null if it is unknown or expired.
  [[nodiscard]] const PlanEntry *find(const PlanId &Name) const;
  /// @brief The workspace whose API key has this digest, or null.
  [[nodiscard]] const Workspace *
  findByKeyDigest(const std::string &Digest) const;
  /// @brief The catalog version at which a subject last changed, or 0.
  [[nodiscard]] std::uint64_t changeVersion(const std::string &Subject) const;
  /// @brief The accepted plans that contain a top-up.
  [[nodiscard]] std::vector<const PlanEntry *> topUps() const;
  /// @brief Whether an accepted plan tops up the budget of a workspace. Expired
  /// plans don't count.
  [[nodiscard]] bool hasTopUp(const WorkspaceId &Name) const;
  /// @brief The conflicts that prevent a plan from being accepted now; empty if
  /// there are none.
  [[nodiscard]] std::vector<std::string> conflicts(const Plan &Stated) const;

  /// @brief Serializes the whole state. The text depends only on the records
  /// that were applied.
  [[nodiscard]] std::string save() const;
  /// @brief Restores a catalog from the text that `save` returned.
  /// @throws std::invalid_argument if the text is not a saved catalog.
  [[nodiscard]] static Catalog load(std::string_view Text);

private:
  void applyRecord(LogTime When, const Plan &Stated);
  void applyRecord(LogTime When, const Confirmation &Confirmed);
  void applyRecord(LogTime When, const MoveEnded &Ended);
  void applyChange(LogTime When, const Change &Accepted);
  void eraseKey(const WorkspaceId &Name);
  void expirePlans(LogTime Now);

  std::uint64_t NextOffset = 0;
  std::uint64_t Version = 0;
  std::map<WorkspaceId, Workspace> Workspaces;
  std::map<std::string, WorkspaceId>
      WorkspacesByKey; ///< Workspaces by key digest.
  std::map<RouteId, Route> Routes;
  std::map<TargetId, Target> Targets;
  std::map<MoveId, MoveEntry> Moves;
  std::map<std::string, std::uint64_t>
      ChangeVersions; ///< Version of the last change by subject.
  std::map<PlanId, PlanEntry> Plans;
};

} // namespace goldcrestnotch
