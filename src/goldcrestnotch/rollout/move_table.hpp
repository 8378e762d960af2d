/// @file
/// State computed from the `rollout` stream. Moves are decided here, from the
/// evidence and the log's time alone, so all VMs reach the same outcome without
/// a leader.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/rollout/record.hpp"

namespace goldcrestnotch {

/// @brief A sequential test for one kind of fault: a cumulative sum of
/// log-likelihood ratios that never falls below zero.
struct FaultTest {
  double Sum = 0;
  std::uint64_t Samples = 0; ///< Number of requests so far.

  /// @brief Adds new counts.
  /// @param BaselineRate The old version's rate of such faults.
  void update(std::uint64_t Requests, std::uint64_t Faults,
              double BaselineRate);
  /// @brief Whether the new version is significantly worse than the old one.
  [[nodiscard]] bool detected() const noexcept;
};

enum class MoveOutcome : std::uint8_t { InProgress, Completed, RolledBack };

[[nodiscard]] std::string_view toString(MoveOutcome Outcome) noexcept;

/// @brief A move in progress or ended.
///
/// Invariant: once `End` is not `InProgress`, the state does not change.
struct MoveState {
  Move Order;
  LogTime Begin{};
  std::uint32_t Stage = 0; ///< Index of the stage, which sets the share.
  MoveOutcome End = MoveOutcome::InProgress;
  LogTime Ended{};
  std::string Reason;
  VersionCounts Old;               ///< Over all VMs.
  VersionCounts New;               ///< Over all VMs.
  std::uint64_t StageRequests = 0; ///< On the new version in this stage.
  FaultTest Failures;
  FaultTest Slowness;
  std::map<HolderId, Evidence> Latest; ///< Last evidence of each VM.

  /// @brief Share of the requests that go to the new version, in permille.
  [[nodiscard]] std::uint32_t share() const noexcept;
};

/// @brief All moves as of an offset of the stream.
class MoveTable {
public:
  /// @brief Applies a record unless one of its offset or later was applied.
  void apply(std::uint64_t Offset, LogTime When, const RolloutRecord &Record);
  /// @brief Passes over a record that cannot be decoded.
  void skip(std::uint64_t Offset) noexcept;

  /// @brief The offset of the next record.
  [[nodiscard]] std::uint64_t next() const noexcept { return Next; }
  /// @brief The time of the newest record.
  [[nodiscard]] LogTime time() const noexcept { return Time; }
  [[nodiscard]] const std::map<MoveId, MoveState> &moves() const noexcept {
    return Moves;
  }
  /// @brief Finds a move by name.
  /// @return Null if the name is unknown.
  [[nodiscard]] const MoveState *find(const MoveId &Name) const;
  /// @brief Whether a move is in progress.
  [[nodiscard]] bool busy() const noexcept;

  /// @brief The whole state as text. Depends only on the applied records.
  [[nodiscard]] std::string save() const;
  /// @throws std::invalid_argument if the text is not a saved table.
  [[nodiscard]] static MoveTable load(std::string_view Text);

private:
  void applyRecord(const MoveBegin &Begin);
  void applyRecord(const Evidence &Report);
  void applyRecord(const MoveTick &) {}
  /// @brief Moves on to the stage, or the end, that is due at the log's time.
  void advance(MoveState &State) const;
  void end(MoveState &State, MoveOutcome Outcome, std::string Reason) const;

  std::uint64_t Next = 0;
  LogTime Time{};
  std::map<MoveId, MoveState> Moves;
};

} // namespace goldcrestnotch
