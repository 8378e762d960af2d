/// @file
/// Carries version moves out on this VM: picks versions for requests, reports
/// evidence, and follows the fold that decides.

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

/// @brief The plug-in that carries version moves out.
class RolloutService final : public Plugin {
public:
  explicit RolloutService(Kernel &Host);

  /// @brief The version for a request. From any thread.
  /// @param First Whether this is the request's first try; later ones go to
  /// the old version.
  [[nodiscard]] VersionId versionFor(const Route &On, const RequestId &Request,
                                     bool First);
  /// @brief The version that a route is at, moves that are done included.
  [[nodiscard]] VersionId settledVersion(const Route &On);
  /// @brief Takes evidence in. From any thread.
  void observe(const Observation &Seen);
  /// @brief The moves and their ends, for operators.
  /// @warning For the control thread only.
  [[nodiscard]] nlohmann::json status() const;

  /// @warning For the control thread only.
  [[nodiscard]] const MoveTable &moveTable() const noexcept {
    return Source.fold();
  }
  /// @brief Takes a newer state that a peer has.
  /// @warning For the control thread only.
  void adopt(const std::string &Saved) { Source.adopt(Saved); }

  void start() override;

private:
  /// @brief A move as traffic threads see it.
  struct Active {
    Move What;
    std::uint32_t Share = 0; ///< In a thousand.
    MoveOutcome End = MoveOutcome::InProgress;
    std::uint64_t Version = 0; ///< Of its confirmation.
    ExposureLimiter Local;
  };

  void run(boost::asio::yield_context Yield);
  void changed();
  void carryMoves(boost::asio::yield_context Yield);
  void carryEnds(boost::asio::yield_context Yield);
  void report(boost::asio::yield_context Yield);
  [[nodiscard]] std::optional<Evidence> takeEvidence(bool UrgentOnly);
  void append(boost::asio::yield_context Yield, const std::string &Stream,
              const std::string &Record);
  void adoptMove(const MoveState &State, std::uint64_t Version);

  Kernel &Host;
  LogClient Log;
  Follower<MoveTable> Source;
  std::mutex Mutex;
  std::map<RouteId, Active> Moves; ///< The last of each route; by `Mutex`.
  Instant ReportDeadline{};
  Instant CarryDeadline{};
};

} // namespace goldcrestnotch
