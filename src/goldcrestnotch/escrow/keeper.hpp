/// @file
/// Keeps a holder's record in the store: reads what others wrote, proposes,
/// and appends only if nothing was written since.

#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "goldcrestnotch/escrow/holder.hpp"
#include "goldcrestnotch/store/keyed_feed.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch::escrow {

/// @brief What a keeper writes besides the accounts, and how often.
struct KeeperTerms {
  std::string Control; ///< Address for other VMs.
  /// A record is written at least so often, and less often by many VMs: one
  /// partition takes all that write there.
  Millis Heartbeat{1'000};
  Millis HeartbeatPerVm{16};
};

/// @brief One partition of holders' records.
/// @tparam Log How the store is reached.
template <store::KeyedLog Log> class Keeper {
public:
  Keeper(Log &Store, store::Partition At, Book &Known, Holder &Held,
         KeeperTerms Terms)
      : Store{Store}, Known{Known}, Held{Held}, Terms{std::move(Terms)},
        Feed{Store, std::move(At),
             [this](const store::Record &One) { take(One); }} {}

  /// @brief What was read, and what other VMs tell while the store is away.
  /// Their news never meet the condition of a write: a record that was not
  /// read from the store lies behind the end that is given as condition.
  [[nodiscard]] store::KeyedFeed<Log> &feed() noexcept { return Feed; }

  /// @brief The longest time between two records of a VM.
  [[nodiscard]] Millis heartbeat() const noexcept {
    const auto Writers = static_cast<std::int64_t>(Known.entries().size());
    return std::max(Terms.Heartbeat, Terms.HeartbeatPerVm * Writers);
  }

  /// @brief Reads, and writes if there is something to say.
  /// @throws store::StoreError
  void step(boost::asio::yield_context Yield, Instant Now,
            const BudgetOf &Budgets, const std::vector<WorkspaceId> &Names,
            std::size_t Vms, const IsHome &Home) {
    for (int Try = 0; Try < MostTries; ++Try) {
      Feed.poll(Yield, Millis{0});
      resolve();
      auto Next = Held.propose(Now, Known, Budgets, Names, Vms, Home);
      Next.Record.Control = Terms.Control;
      if (!Held.matters(Next) && Now < HeartbeatDeadline) {
        return;
      }
      if (write(Yield, Next)) {
        HeartbeatDeadline = Now + heartbeat();
        return;
      }
    }
  }

private:
  /// Others may write between the read and the append.
  static constexpr int MostTries = 4;

  [[nodiscard]] bool write(boost::asio::yield_context Yield,
                           const Proposal &Next) {
    const auto Condition = Feed.nextOffset();
    std::vector<store::Record> Records;
    for (const auto &Name : Next.Ended) {
      Records.push_back({0, Name.str(), std::nullopt});
    }
    Records.push_back({0, Held.name().str(), encode(Next.Record)});
    Held.sent(Next);
    SentAt = Condition;
    const auto Result =
        Store.append(Yield, Feed.partition(), Condition, Records);
    if (!Result.Appended) {
      return false; // The next read tells whether an earlier one was done.
    }
    for (std::size_t I = 0; I < Records.size(); ++I) {
      Records[I].Offset = Condition + I;
      Feed.apply(Records[I]);
    }
    resolve();
    logLegacy(Next);
    return true;
  }

  static void logLegacy(const Proposal &Written) {
    for (const auto &[Name, Past] : Written.Inherited) {
      log(LogLevel::Info, "escrow.inherited",
          {{"workspace", Name.str()},
           {"drawn", Past.Drawn.count()},
           {"in_doubt", Past.Doubt.count()}});
    }
  }

  /// @brief Settles the fate of records on their way. Each was sent on the
  /// condition that the partition ended at `SentAt` or earlier.
  void resolve() {
    if (!Held.unsure()) {
      return;
    }
    const auto *Mine = Known.find(Held.name());
    if (Mine != nullptr && Held.confirm(Mine->Sequence)) {
      return;
    }
    if (Feed.nextOffset() > SentAt) {
      Held.abandon();
    }
  }

  void take(const store::Record &One) {
    const auto Name = HolderName::parse(One.Key);
    if (!Name) {
      log(LogLevel::Warn, "escrow.unknown_key", {{"key", One.Key}});
      return;
    }
    std::optional<HolderRecord> Record;
    if (One.Value) {
      Record = decodeRecord(*One.Value);
      if (!Record) {
        log(LogLevel::Error, "escrow.unreadable", {{"key", One.Key}});
        return;
      }
    }
    Known.apply(One.Offset, *Name, std::move(Record));
  }

  Log &Store;
  Book &Known;
  Holder &Held;
  KeeperTerms Terms;
  store::KeyedFeed<Log> Feed;
  std::uint64_t SentAt = 0;
  Instant HeartbeatDeadline{};
};

} // namespace goldcrestnotch::escrow
