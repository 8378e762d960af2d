/// @file
/// The records of a ledger stream. A batch is one append; its holder and
/// sequence number make a repeated append harmless.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "goldcrestnotch/core/id.hpp"
#include "goldcrestnotch/core/tokens.hpp"
#include "goldcrestnotch/core/verdict.hpp"
#include "goldcrestnotch/ledger/holder_id.hpp"

namespace goldcrestnotch {

/// @brief The batch's holder begins; older incarnations of its VM are dead.
struct Join {};

/// @brief A confirmed plan adds to a pool; counted once a plan.
struct TopUp {
  PoolId Pool;
  PlanId Plan;
  Tokens Amount;
};

/// @brief Sets a pool's total, such as a target's slots; the newest plan wins.
struct Capacity {
  PoolId Pool;
  std::uint64_t Version = 0; ///< Of the catalog.
  Tokens Amount;
};

/// @brief The holder asks for a grant.
struct Draw {
  PoolId Pool;
  Tokens Requested;
  Tokens Minimum; ///< Less than this is of no use; the draw then waits.
};

/// @brief A request's spend, taken from the holder's grant.
struct Bill {
  PoolId Pool;
  RequestId Request;
  Tokens Amount;
  bool Keyed = false; ///< The caller chose the id and may retry elsewhere.
  HolderId Payer;     ///< Empty VM: the batch's holder.
};

/// @brief The holder gives back part of its grant.
struct Return {
  PoolId Pool;
  Tokens Amount;
};

/// @brief The holder claims the right to run a call once.
struct Claim {
  RequestId Key;
};

/// @brief How a claimed call ended.
struct Outcome {
  RequestId Key;
  Verdict Ran = Verdict::MayHaveRun;
  int Status = 0;
  std::string ContentType;
  std::string Body;
};

/// @brief The holder gives its claim up; no byte reached a target.
struct Release {
  RequestId Key;
};

/// @brief The platform says that the holder's VM is gone.
struct Retire {
  HolderId Dead;
};

/// @brief The engines have been asked for a dead holder's streams.
struct Settle {
  HolderId Dead;
  bool WriteOff =
      false; ///< Not all answered: what is in doubt counts as spent.
};

using Item = std::variant<Join, TopUp, Capacity, Draw, Bill, Return, Claim,
                          Outcome, Release, Retire, Settle>;

/// @brief One append.
struct Batch {
  HolderId Holder;
  std::uint64_t Sequence = 0; ///< From 1, without gaps.
  std::vector<Item> Items;
};

/// @brief The text of a batch in the log.
[[nodiscard]] std::string encode(const Batch &Source);

/// @brief Reads a batch.
/// @throws std::invalid_argument if the text is no batch.
[[nodiscard]] Batch decodeBatch(std::string_view Text);

} // namespace goldcrestnotch
