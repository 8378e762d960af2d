/// @file
/// Schedules the synchronization of the budget partitions that this VM
/// participates in, each at its own interval.

#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "goldcrestnotch/escrow/partition_sync.hpp"
#include "goldcrestnotch/escrow/shards.hpp"

namespace goldcrestnotch::escrow {

/// @brief Input of a scheduler step.
struct StepContext {
  const BudgetLookup &Budgets;
  const std::vector<WorkspaceId> &Workspaces; ///< Workspaces with a budget.
  std::size_t Vms = 0;                        ///< Number of VMs that are up.
  const HomePredicate &IsHome;
};

/// @brief Steps the syncs of all partitions. A VM participates in a partition
/// from the time it is a home of one of its workspaces, and does not stop. If
/// there is only one partition, every VM participates.
/// @tparam Log Client of the store.
template <store::KeyedLog Log> class PartitionScheduler {
public:
  PartitionScheduler(Log &Store, std::string Topic, Shards &Partitions,
                     PartitionSyncSettings Settings)
      : Store{Store}, Topic{std::move(Topic)},
        Partitions{Partitions}, Settings{std::move(Settings)} {}

  /// @brief The feed of a partition, or null if this VM has not joined it.
  [[nodiscard]] store::KeyedFeed<Log> *feed(std::size_t Index) {
    const bool Joined =
        Index < Entries.size() && Partitions.at(Index).Holder.joined();
    return Joined ? &Entries[Index]->Sync.feed() : nullptr;
  }
  /// @brief When a step is next due, as of the last one.
  [[nodiscard]] Instant nextDue() const noexcept {
    auto Result = HomeCheckDue;
    for (const auto &Partition : Entries) {
      Result = Partition->Active ? std::min(Result, dueOf(*Partition)) : Result;
    }
    return Result;
  }

  /// @brief Schedules a workspace's partition early, because a request waits
  /// for tokens.
  void expedite(const WorkspaceId &Workspace) {
    if (!Entries.empty()) {
      Entries[Partitions.indexOf(Workspace)]->Expedited = true;
    }
  }
  /// @brief Schedules all partitions and the check for new homes early.
  void expedite() {
    HomeCheckDue = Instant{};
    for (const auto &Partition : Entries) {
      Partition->Expedited = true;
    }
  }
  /// @brief Steps the partitions that are due.
  /// @throws store::StoreError The remaining partitions are not stepped; they
  /// stay due for the next call.
  void step(boost::asio::yield_context Yield, Instant Now,
            const StepContext &Context) {
    open();
    if (Now >= HomeCheckDue) {
      HomeCheckDue = Now + HomeCheckInterval;
      for (std::size_t I = 0; I < Entries.size(); ++I) {
        Entries[I]->Active = participates(I, Context);
      }
    }
    for (std::size_t I = 0; I < Entries.size(); ++I) {
      if (Entries[I]->Active && Now >= dueOf(*Entries[I])) {
        stepPartition(Yield, Now, Context, I);
      }
    }
  }

private:
  /// Minimum interval between two steps of the only partition while no request
  /// waits for tokens.
  static constexpr Millis StepInterval{250};
  /// Minimum interval between two steps of one of several partitions while no
  /// request waits for tokens. It can be longer because the homes hold tokens
  /// for other VMs, and those ask when they need more.
  static constexpr Millis HomeStepInterval{500};
  /// Minimum interval between two steps for each VM that writes to the
  /// partition: an append takes 2 ms, and a conditional write fails if another
  /// write came between.
  static constexpr Millis StepIntervalPerWriter{16};
  /// Minimum interval between two steps while a request waits for tokens.
  static constexpr Millis ExpeditedInterval{10};
  /// Minimum interval between two steps, for each VM that writes to the
  /// partition, while a request waits for tokens.
  static constexpr Millis ExpeditedIntervalPerWriter{6};
  /// Interval between two checks whether this VM has become a home.
  static constexpr Millis HomeCheckInterval{1'000};

  /// @brief Schedule of one partition.
  struct Entry {
    Entry(Log &Store, store::Partition Source, Shard &Part,
          PartitionSyncSettings Settings)
        : Sync{Store, std::move(Source), Part.Table, Part.Holder,
               std::move(Settings)} {}

    PartitionSync<Log> Sync;
    bool Active = false;    ///< This VM participates in the partition.
    bool Expedited = false; ///< A request waits for tokens.
    Instant StepDue{};      ///< Due time of the next step.
    Instant ExpeditedDue{}; ///< Earliest time of the next step if expedited.
  };

  [[nodiscard]] static Instant dueOf(const Entry &Partition) noexcept {
    return Partition.Expedited
               ? std::min(Partition.ExpeditedDue, Partition.StepDue)
               : Partition.StepDue;
  }

  /// @brief Adds the partitions once their number is known.
  void open() {
    for (std::size_t I = Entries.size(); I < Partitions.size(); ++I) {
      const store::Partition Source{Topic, static_cast<std::uint32_t>(I)};
      Entries.push_back(
          std::make_unique<Entry>(Store, Source, Partitions.at(I), Settings));
    }
  }

  [[nodiscard]] bool participates(std::size_t Index,
                                  const StepContext &Context) {
    if (Partitions.size() == 1 || Partitions.at(Index).Holder.joined()) {
      return true;
    }
    return std::any_of(Context.Workspaces.begin(), Context.Workspaces.end(),
                       [&](const WorkspaceId &Workspace) {
                         return Partitions.indexOf(Workspace) == Index &&
                                Context.IsHome(Workspace);
                       });
  }

  void stepPartition(boost::asio::yield_context Yield, Instant Now,
                     const StepContext &Context, std::size_t Index) {
    auto &Partition = *Entries[Index];
    std::vector<WorkspaceId> Workspaces;
    for (const auto &Workspace : Context.Workspaces) {
      if (Partitions.indexOf(Workspace) == Index) {
        Workspaces.push_back(Workspace);
      }
    }
    const auto Writers =
        static_cast<std::int64_t>(Partitions.at(Index).Table.entries().size());
    Partition.Expedited = false;
    const auto MinInterval =
        Partitions.size() == 1 ? StepInterval : HomeStepInterval;
    Partition.StepDue =
        Now + std::max(MinInterval, StepIntervalPerWriter * Writers);
    // Expedited steps keep an interval as well, which grows with the writers.
    Partition.ExpeditedDue =
        Now + std::max(ExpeditedInterval, ExpeditedIntervalPerWriter * Writers);
    Partition.Sync.step(Yield, Now, Context.Budgets, Workspaces, Context.Vms,
                        Context.IsHome);
  }

  Log &Store;
  std::string Topic;
  Shards &Partitions;
  PartitionSyncSettings Settings;
  std::vector<std::unique_ptr<Entry>> Entries; ///< By number of the partition.
  Instant HomeCheckDue{}; ///< Time of the next check for becoming a home.
};

} // namespace goldcrestnotch::escrow
