/// @file
/// Carries out version moves on this VM: chooses versions for requests, reports
/// evidence, and follows the move table that decides on the moves.

#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include <boost/asio/spawn.hpp>
#include <nlohmann/json_fwd.hpp>

#include "goldcrestnotch/catalog/change.hpp"
#include "goldcrestnotch/kernel/kernel.hpp"
#include "goldcrestnotch/platform/follower.hpp"
#include "goldcrestnotch/rollout/exposure_limiter.hpp"
#include "goldcrestnotch/rollout/move_table.hpp"
#include "goldcrestnotch/rollout/observation.hpp"

namespace goldcrestnotch {

/// @brief The plug-in that carries out version moves.
class RolloutService final : public Plugin {
public:
  explicit RolloutService(Kernel &Host);

  /// @brief Chooses the version for a request. Callable from any thread.
  /// @param First Whether this is the request's first attempt; later attempts
  /// go to the old version while the move is in progress.
  [[nodiscard]] VersionId versionFor(const Route &Requested,
                                     const RequestId &Request, bool First);
  /// @brief The version of a route, after any completed move. Callable from any
  /// thread.
  [[nodiscard]] VersionId settledVersion(const Route &Requested);
  /// @brief Records the outcome of a request. Callable from any thread.
  void observe(const Observation &Result);
  /// @brief The moves and their outcomes, for operators.
  /// @warning Only callable from the control thread.
  [[nodiscard]] nlohmann::json status() const;

  /// @warning Only callable from the control thread.
  [[nodiscard]] const MoveTable &moveTable() const noexcept {
    return Stream.fold();
  }
  /// @brief Adopts the saved state of a peer if it is newer.
  /// @throws std::invalid_argument if the text is not a saved table.
  /// @warning Only callable from the control thread.
  void adopt(const std::string &Saved) { Stream.adopt(Saved); }

  void start() override;

private:
  /// @brief A move as the traffic threads see it.
  struct ActiveMove {
    Move Order;
    std::uint32_t Share = 0; ///< Share of the new version, in permille.
    MoveOutcome End = MoveOutcome::InProgress;
    std::uint64_t Version = 0; ///< Catalog version that confirmed the move.
    ExposureLimiter Local;
  };

  void run(boost::asio::yield_context Yield);
  /// @brief Copies the state of all moves from the table.
  void updateMoves();
  /// @brief Appends begin records for confirmed moves that have none.
  void publishBegins(boost::asio::yield_context Yield);
  /// @brief Appends the outcomes of ended moves to the `config` stream.
  void publishEnds(boost::asio::yield_context Yield);
  /// @brief Appends the evidence that is due, and ticks while moves are in
  /// progress.
  void report(boost::asio::yield_context Yield);
  /// @brief Takes the unreported evidence of one move.
  /// @param FaultsOnly Whether to skip moves without an unreported fault.
  /// @return Nothing if no move has any.
  [[nodiscard]] std::optional<Evidence> takeEvidence(bool FaultsOnly);
  void append(boost::asio::yield_context Yield, const std::string &StreamName,
              const std::string &Record);
  /// @brief Updates the active move of a route from the table.
  void updateMove(const MoveState &State, std::uint64_t Version);

  Kernel &Host;
  LogClient Log;
  Follower<MoveTable> Stream;
  std::mutex Mutex;
  /// The last move of each route. Guarded by `Mutex`.
  std::map<RouteId, ActiveMove> Moves;
  Instant NextReport{};
  Instant NextPublish{};
};

} // namespace goldcrestnotch
