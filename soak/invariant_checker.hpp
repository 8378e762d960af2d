/// @file
/// Checks the answers and executed requests of a soak test against the
/// invariants that the daemons guarantee to callers.

#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "fleet.hpp"

namespace soak {

/// @brief Kind of a request, by its route.
enum class RequestKind : std::uint8_t { Chat, Order, Stock };

/// @brief Collects answers and violated invariants. Thread-safe.
class InvariantChecker {
public:
  /// Input tokens of each chat request.
  static constexpr std::int64_t InputTokens = 100;

  explicit InvariantChecker(platform_test::Fleet &Fleet,
                            std::int64_t PrepaidTokens)
      : Fleet{Fleet}, PrepaidTokens{PrepaidTokens} {}

  /// @brief Checks the answer to a valid request and counts it.
  void checkAnswer(RequestKind Kind, const std::string &AttemptId,
                   const platform_test::CallResult &Answer);
  /// @brief Records a violated invariant.
  void addViolation(const std::string &Description);
  /// @brief Checks the invariants over all requests: executions of each order
  /// and delivered tokens. Must be called after all requests have ended.
  void checkTotals();

  [[nodiscard]] std::vector<std::string> violations() const;
  /// @brief Returns the count of answers by kind and status, one per line.
  [[nodiscard]] std::string report() const;

private:
  void checkContent(RequestKind Kind, const std::string &AttemptId,
                    const platform_test::CallResult &Answer);

  platform_test::Fleet &Fleet;
  std::int64_t PrepaidTokens;
  mutable std::mutex Mutex;
  // All members below are guarded by `Mutex`.
  std::map<std::string, int> OrderStatuses; ///< Status by attempt id.
  std::map<std::string, int> AnswerCounts;
  std::int64_t DeliveredTokens = 0; ///< Tokens delivered to callers.
  std::vector<std::string> Violations;
};

} // namespace soak
