/// @file
/// The fold of the `rollout` stream. It decides on moves by itself, from the
/// evidence and the log's time, so all VMs reach the same end without a lead.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/rollout/record.hpp"

namespace goldcrestnotch {

/// @brief A sequential test of one kind of fault: a cumulative sum of
/// log-likelihood ratios that never falls below zero.
struct FaultTest {
  double Sum = 0;
  std::uint64_t Seen = 0; ///< Requests so far.

  /// @brief Takes new counts in.
  /// @param Usual The old version's share of such faults.
  void update(std::uint64_t Requests, std::uint64_t Faults, double Usual);
  /// @brief Whether the new version is worse beyond doubt.
  [[nodiscard]] bool detected() const noexcept;
};

enum class MoveOutcome : std::uint8_t { InProgress, Completed, RolledBack };

[[nodiscard]] std::string_view toString(MoveOutcome End) noexcept;

/// @brief A move in progress or ended.
///
/// Invariant: once `End` is not `Open`, nothing changes any more.
struct MoveState {
  Move What;
  LogTime Begun{};
  std::uint32_t Stage = 0; ///< Index into the stages.
  MoveOutcome End = MoveOutcome::InProgress;
  LogTime Ended{};
  std::string Reason;
  VersionCounts Old;               ///< Over all VMs.
  VersionCounts New;               ///< Over all VMs.
  std::uint64_t StageRequests = 0; ///< On the new version in this stage.
  FaultTest Failures;
  FaultTest Slowness;
  std::map<HolderId, Evidence> Last; ///< By the VM that saw it.

  /// @brief Requests in a thousand that go to the new version.
  [[nodiscard]] std::uint32_t share() const noexcept;
};

/// @brief All moves after a prefix of the stream.
class MoveTable {
public:
  void apply(std::uint64_t Offset, LogTime When, const RolloutRecord &Record);
  void skip(std::uint64_t Offset) noexcept;

  [[nodiscard]] std::uint64_t next() const noexcept { return Next; }
  [[nodiscard]] LogTime time() const noexcept { return Time; }
  [[nodiscard]] const std::map<MoveId, MoveState> &moves() const noexcept {
    return Moves;
  }
  [[nodiscard]] const MoveState *find(const MoveId &Name) const;
  /// @brief Whether a move is open.
  [[nodiscard]] bool busy() const noexcept;

  /// @brief The whole state as text, a function of the records applied.
  [[nodiscard]] std::string save() const;
  /// @throws std::invalid_argument if the text is no saved book.
  [[nodiscard]] static MoveTable load(std::string_view Text);

private:
  void take(const MoveBegin &Begun);
  void take(const Evidence &Seen);
  void take(const MoveTick &) {}
  void advance(MoveState &At) const;
  void end(MoveState &At, MoveOutcome How, std::string Reason) const;

  std::uint64_t Next = 0;
  LogTime Time{};
  std::map<MoveId, MoveState> Moves;
};

} // namespace goldcrestnotch
