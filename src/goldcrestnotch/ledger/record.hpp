/// @file
/// The records of a ledger stream. Each record is a batch of items. Readers
/// use its holder and sequence number to ignore a repeated append.

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

/// @brief Registers the holder of the batch and retires the previous
/// incarnation of its VM.
struct Join {};

/// @brief Adds the amount of a confirmed plan to a pool. Each plan is applied
/// once.
struct TopUp {
  PoolId Pool;
  PlanId Plan;
  Tokens Amount;
};

/// @brief Sets the total of a pool, such as the slots of a target. The record
/// with the highest version applies.
struct Capacity {
  PoolId Pool;
  std::uint64_t Version = 0; ///< Catalog version that set the amount.
  Tokens Amount;
};

/// @brief Requests a grant. It replaces an earlier pending draw of the holder;
/// zero amounts only withdraw that draw.
struct Draw {
  PoolId Pool;
  Tokens Requested;
  Tokens Minimum; ///< The draw waits until this much is free.
};

/// @brief Bills what a request spent and deducts it from the payer's grant.
struct Bill {
  PoolId Pool;
  RequestId Request;
  Tokens Amount;
  bool Keyed = false; ///< The caller chose the id and may retry elsewhere.
  HolderId Payer;     ///< The holder of the batch if the VM is empty.
};

/// @brief Returns part of the holder's grant to the pool.
struct Return {
  PoolId Pool;
  Tokens Amount;
};

/// @brief Claims the right to run a call once.
struct Claim {
  RequestId Key;
};

/// @brief Records how a claimed call ended.
struct Outcome {
  RequestId Key;
  Verdict Ran = Verdict::MayHaveRun; ///< Whether the call ran.
  int Status = 0;
  std::string ContentType;
  std::string Body;
};

/// @brief Withdraws the holder's claim because no byte reached a target.
struct Release {
  RequestId Key;
};

/// @brief Retires a holder because the platform no longer lists its VM.
struct Retire {
  HolderId Dead;
};

/// @brief Settles the grants of a retired holder after the engines were asked
/// for its streams.
struct Settle {
  HolderId Dead;
  /// Counts the unsettled rest as spent. This applies if an engine did not
  /// answer in time or has discarded a stream that may not have been billed.
  /// Otherwise the rest becomes free.
  bool WriteOff = false;
};

using Item = std::variant<Join, TopUp, Capacity, Draw, Bill, Return, Claim,
                          Outcome, Release, Retire, Settle>;

/// @brief A group of items that is appended as one record.
struct Batch {
  HolderId Holder;
  std::uint64_t Sequence = 0; ///< Starts at 1 and increases by 1 per batch.
  std::vector<Item> Items;
};

/// @brief Serializes a batch for the log.
[[nodiscard]] std::string encode(const Batch &Source);

/// @brief Parses a batch.
/// @throws std::invalid_argument if the text is not a valid batch.
[[nodiscard]] Batch decodeBatch(std::string_view Text);

} // namespace goldcrestnotch
