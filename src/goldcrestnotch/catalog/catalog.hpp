/// @file
/// The fold of the `config` stream: workspaces, routes, targets, and what
/// became of each plan. Its version is the offset of the last record.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrestnotch/catalog/change.hpp"
#include "goldcrestnotch/core/instant.hpp"

namespace goldcrestnotch {

/// @brief What became of a plan.
enum class PlanState : std::uint8_t { Stated, Accepted, Conflicted };

/// @brief A plan and its end.
struct PlanEntry {
  Plan Stated;
  PlanState State = PlanState::Stated;
  LogTime Since{};
  std::uint64_t Version = 0;          ///< Of its acceptance, else zero.
  std::vector<std::string> Conflicts; ///< Why it was not accepted.
};

/// @brief A version move as it was confirmed.
struct MoveEntry {
  Move What;
  std::uint64_t Version = 0; ///< Of its confirmation.
  LogTime Since{};
  bool Ended = false;
};

/// @brief The published configuration after a prefix of the stream.
class Catalog {
public:
  /// @brief Applies the next record; offsets already applied are passed over.
  void apply(std::uint64_t Offset, LogTime When, const ConfigRecord &Record);
  /// @brief Passes over a record that can't be read.
  void skip(std::uint64_t Offset) noexcept;

  /// @brief The first offset not applied.
  [[nodiscard]] std::uint64_t next() const noexcept { return Next; }
  /// @brief The version in force: grows with every accepted plan.
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
  [[nodiscard]] const PlanEntry *find(const PlanId &Name) const;
  /// @brief The workspace whose key has this digest, or nothing.
  [[nodiscard]] const Workspace *findKey(const std::string &Digest) const;
  /// @brief The version at which a subject last changed, or zero.
  [[nodiscard]] std::uint64_t touched(const std::string &Subject) const;
  /// @brief Accepted plans that hold a top-up, for the ledger.
  [[nodiscard]] std::vector<const PlanEntry *> topUps() const;
  /// @brief What stands in a plan's way now; empty if nothing does.
  [[nodiscard]] std::vector<std::string> conflicts(const Plan &Stated) const;

  /// @brief The whole state as text, a function of the records applied.
  [[nodiscard]] std::string save() const;
  /// @throws std::invalid_argument if the text is no saved catalog.
  [[nodiscard]] static Catalog load(std::string_view Text);

private:
  void take(LogTime When, const Plan &Stated);
  void take(LogTime When, const Confirmation &Word);
  void take(LogTime When, const MoveEnded &Word);
  void put(LogTime When, const Change &What);
  void dropKey(const WorkspaceId &Name);
  void forget(LogTime Now);

  std::uint64_t Next = 0;
  std::uint64_t Version = 0;
  std::map<WorkspaceId, Workspace> Workspaces;
  std::map<std::string, WorkspaceId> Keys; ///< By digest.
  std::map<RouteId, Route> Routes;
  std::map<TargetId, Target> Targets;
  std::map<MoveId, MoveEntry> Moves;
  std::map<std::string, std::uint64_t> Touched; ///< Version by subject.
  std::map<PlanId, PlanEntry> Plans;
};

} // namespace goldcrestnotch
