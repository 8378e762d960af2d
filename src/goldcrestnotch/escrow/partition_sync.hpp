/// @file
/// Keeps a holder's record in one partition of the store: reads the records of
/// other VMs, computes the next record, and appends it only if nothing was
/// written since the read.

#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "goldcrestnotch/escrow/restored_records.hpp"
#include "goldcrestnotch/escrow/token_holder.hpp"
#include "goldcrestnotch/store/keyed_feed.hpp"
#include "goldcrestnotch/telemetry/line_limit.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch::escrow {

/// @brief Settings of a partition sync.
struct PartitionSyncSettings {
  std::string ControlAddress; ///< Address that other VMs connect to.
  /// Shortest interval between two heartbeat records of a VM.
  Millis HeartbeatInterval{1'000};
  /// The interval grows with the number of VMs that write to the partition,
  /// since one partition takes the writes of all of them.
  Millis HeartbeatIntervalPerVm{16};
  /// How long a VM waits, after the store was restored from an older copy, for
  /// other VMs to write their newest records again before it draws tokens. A VM
  /// that has not done so by then is down or cut off and draws nothing itself.
  Millis RestoreTimeout{3'500};
};

/// @brief Synchronizes a holder with one partition of holder records.
/// @tparam Log Client of the store.
template <store::KeyedLog Log> class PartitionSync {
public:
  PartitionSync(Log &Store, store::Partition Source, HolderTable &Table,
                TokenHolder &Holder, PartitionSyncSettings Settings)
      : Store{Store}, Table{Table}, Holder{Holder}, Settings{std::move(
                                                        Settings)},
        Feed{Store, std::move(Source),
             [this](const store::Record &Update) { apply(Update); }} {
    // Without a part of the records, tokens would be drawn twice.
    Feed.requireWholeList();
  }

  /// @brief The records read from the store, and those that other VMs pass on
  /// during an outage. A record passed on by a VM can't lead to a wrong write:
  /// its offset is not below the end of the partition that this VM has read,
  /// which is the condition of the write, so the store rejects the write.
  [[nodiscard]] store::KeyedFeed<Log> &feed() noexcept { return Feed; }

  /// @brief Interval between two heartbeat records of a VM.
  [[nodiscard]] Millis heartbeatInterval() const noexcept {
    const auto Writers = static_cast<std::int64_t>(Table.entries().size());
    return std::max(Settings.HeartbeatInterval,
                    Settings.HeartbeatIntervalPerVm * Writers);
  }

  /// @brief Reads new records, and writes one if it is due or other VMs need
  /// to know of it.
  /// @param Workspaces Workspaces of this partition that have a budget.
  /// @param Vms Number of VMs that are up.
  /// @throws store::StoreError
  void step(boost::asio::yield_context Yield, Instant Now,
            const BudgetLookup &Budgets,
            const std::vector<WorkspaceId> &Workspaces, std::size_t Vms,
            const HomePredicate &IsHome) {
    for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
      Feed.poll(Yield, Millis{0});
      observeEra(Now);
      resolvePending();
      const bool TimedOut = Now >= RestoreDeadline;
      if (!TimedOut && knowsNothing()) {
        // A record of this process would look to others that start as if those
        // that know the draws had written theirs.
        Holder.suspendDraws(true);
        return;
      }
      Holder.suspendDraws(!TimedOut && !restored(Table, Feed.era()));
      const auto Missing = recordsToWriteAgain(TimedOut);
      auto Next = Holder.propose(Now, Table, Budgets, Workspaces, Vms, IsHome);
      Next.Record.ControlAddress = Settings.ControlAddress;
      Next.Record.Era = Feed.era();
      if (!Holder.worthWriting(Next) && Now < HeartbeatDeadline &&
          Missing.empty()) {
        return;
      }
      if (write(Yield, Next, Missing)) {
        HeartbeatDeadline = Now + heartbeatInterval();
        return;
      }
    }
  }

private:
  /// Attempts per step; one fails if another VM writes between the read and
  /// the append.
  static constexpr int MaxAttempts = 4;
  /// Era of a store that has never been restored.
  static constexpr std::uint64_t FirstEra = 1;

  /// @brief Begins anew if the store was restored from an older copy: this VM's
  /// record has to be written again, and draws wait for those of other VMs.
  void observeEra(Instant Now) {
    if (Feed.era() == Era) {
      return;
    }
    KnowsEarlierEra = Era.has_value();
    Era = Feed.era();
    Restoring = true;
    RestoreDeadline = Now + Settings.RestoreTimeout;
    HeartbeatDeadline = Instant{};
    Holder.resolvePendingByRestore();
  }

  /// @brief Whether this process began to read a restored store before any
  /// record was written to it: the draws of all VMs may be missing.
  [[nodiscard]] bool knowsNothing() const {
    return !KnowsEarlierEra && *Era > FirstEra &&
           std::none_of(Table.entries().begin(), Table.entries().end(),
                        [](const auto &Entry) {
                          return Entry.second.Record.has_value();
                        });
  }

  /// @brief The records of other holders that the store has lost. Only for some
  /// time after a restore is there anything to look for.
  [[nodiscard]] std::vector<store::Record> recordsToWriteAgain(bool TimedOut) {
    if (!Restoring) {
      return {};
    }
    auto Result = recordsToRestore(
        Table, Holder.name(), Feed.era(), KnowsEarlierEra && TimedOut,
        [this](const std::string &Key) { return Feed.value(Key); });
    Restoring = !TimedOut || !Result.empty();
    return Result;
  }

  /// @param Missing Records of other holders that the store has lost.
  /// @return Whether the record was written.
  [[nodiscard]] bool write(boost::asio::yield_context Yield,
                           const Proposal &Next,
                           const std::vector<store::Record> &Missing) {
    const auto Condition = Feed.nextOffset();
    // The own record comes first: a read may end behind any record, and one
    // that ends before the deletions must not miss what was taken over.
    std::vector<store::Record> Records{
        {0, Holder.name().str(), encode(Next.Record)}};
    Records.insert(Records.end(), Missing.begin(), Missing.end());
    for (const auto &[Name, Accounts] : Next.EndedHolders) {
      Records.push_back({0, Name.str(), std::nullopt});
    }
    Holder.markSent(Next);
    LastCondition = Condition;
    const auto Result =
        Store.append(Yield, Feed.partition(), Condition, Records);
    if (!Result.Appended || Result.Era != Feed.era()) {
      // The next read shows whether an earlier write succeeded, or begins anew
      // if the store was restored meanwhile.
      Feed.enterEra(Result.Era);
      return false;
    }
    for (std::size_t I = 0; I < Records.size(); ++I) {
      Records[I].Offset = Condition + I;
      Records[I].Era = Feed.era();
      Feed.apply(Records[I]);
    }
    resolvePending();
    logInherited(Next);
    return true;
  }

  static void logInherited(const Proposal &Written) {
    for (const auto &[Workspace, Ended] : Written.inherited()) {
      log(LogLevel::Info, "escrow.inherited",
          {{"workspace", Workspace.str()},
           {"drawn", Ended.Drawn.count()},
           {"in_doubt", Ended.InDoubt.count()}});
    }
  }

  static void logImpossible(const std::string &Key,
                            const HolderRecord &Record) {
    for (const auto &[Workspace, Entry] : Record.Accounts) {
      if (!isPossible(Entry)) {
        log(LogLevel::Error, "escrow.impossible_amounts",
            {{"key", Key},
             {"workspace", Workspace.str()},
             {"drawn", Entry.Drawn.count()},
             {"spent", Entry.Spent.count()}});
      }
    }
  }

  /// @brief Confirms or abandons pending records. Each was sent on the
  /// condition that the partition ended at `LastCondition` or earlier.
  void resolvePending() {
    if (!Holder.hasPending()) {
      return;
    }
    const auto *Own = Table.find(Holder.name());
    if (Own != nullptr && Holder.confirm(Own->Sequence)) {
      return;
    }
    if (Feed.nextOffset() > LastCondition) {
      Holder.abandon();
    }
  }

  /// @brief Applies a record from the feed.
  void apply(const store::Record &Update) {
    const auto Name = HolderName::parse(Update.Key);
    if (!Name) {
      if (const auto Omitted = UnknownLines.admit(DecisionClock::now())) {
        log(LogLevel::Warn, "escrow.unknown_key",
            {{"key", Update.Key}, {"left_out", *Omitted}});
      }
      return;
    }
    std::optional<HolderRecord> Record;
    if (Update.Value) {
      Record = decodeRecord(*Update.Value);
      if (!Record) {
        if (const auto Omitted = UnreadableLines.admit(DecisionClock::now())) {
          log(LogLevel::Error, "escrow.unreadable",
              {{"key", Update.Key}, {"left_out", *Omitted}});
        }
        return;
      }
      logImpossible(Update.Key, *Record);
    }
    const auto *Own = Table.find(Holder.name());
    if (*Name == Holder.name() && Own != nullptr && Record &&
        Record->Sequence < Own->Sequence) {
      // An earlier write has taken effect late, or the store was restored. A
      // process that starts would take this record for the newest one.
      HeartbeatDeadline = Instant{};
    }
    Table.apply({Update.Era, Update.Offset}, *Name, std::move(Record));
  }

  Log &Store;
  HolderTable &Table;
  TokenHolder &Holder;
  PartitionSyncSettings Settings;
  store::KeyedFeed<Log> Feed;
  LineLimit UnknownLines{MaxUnreadableLines};
  LineLimit UnreadableLines{MaxUnreadableLines};
  std::uint64_t LastCondition = 0; ///< Of the last append.
  Instant HeartbeatDeadline{};
  std::optional<std::uint64_t> Era; ///< Of the store; absent before a read.
  bool KnowsEarlierEra = false;     ///< The table holds records of an earlier
                                    ///< one.
  bool Restoring = false;    ///< The store may lack records of other holders.
  Instant RestoreDeadline{}; ///< Other VMs are not waited for after it.
};

} // namespace goldcrestnotch::escrow
