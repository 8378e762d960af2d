/// @file
/// Keeps a VM's records in the partitions of the budgets that it takes part
/// in, each in its time.

#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "goldcrestnotch/escrow/partition_sync.hpp"
#include "goldcrestnotch/escrow/shards.hpp"

namespace goldcrestnotch::escrow {

/// @brief What a step works with.
struct StepContext {
  const BudgetLookup &Budgets;
  const std::vector<WorkspaceId> &Names; ///< Workspaces with a budget.
  std::size_t Vms = 0;                   ///< VMs that are up.
  const HomePredicate &Home;
};

/// @brief Steps the keepers of all partitions. A VM takes part where it is a
/// home, and goes on with that; where there is one partition, everywhere.
/// @tparam Log How the store is reached.
template <store::KeyedLog Log> class PartitionScheduler {
public:
  PartitionScheduler(Log &Store, std::string Topic, Shards &Parts,
                     PartitionSyncSettings Terms)
      : Store{Store}, Topic{std::move(Topic)}, Parts{Parts}, Terms{std::move(
                                                                 Terms)} {}

  /// @brief The feed of a partition that this VM takes part in, or null.
  [[nodiscard]] store::KeyedFeed<Log> *feed(std::size_t Index) {
    const bool Known = Index < Rows.size() && Parts.at(Index).Held.joined();
    return Known ? &Rows[Index]->Keep.feed() : nullptr;
  }
  /// @brief When a step is next due, as of the last one.
  [[nodiscard]] Instant nextDue() const noexcept {
    auto Result = JoinDue;
    for (const auto &One : Rows) {
      Result = One->Active ? std::min(Result, due(*One)) : Result;
    }
    return Result;
  }

  /// @brief A request waits for tokens of a workspace.
  void expedite(const WorkspaceId &Name) {
    if (!Rows.empty()) {
      Rows[Parts.indexOf(Name)]->Hurried = true;
    }
  }
  /// @brief All partitions are due.
  void expedite() {
    JoinDue = Instant{};
    for (const auto &One : Rows) {
      One->Hurried = true;
    }
  }
  /// @brief Steps what is due.
  /// @throws store::StoreError; the other partitions wait until called again.
  void step(boost::asio::yield_context Yield, Instant Now,
            const StepContext &View) {
    open();
    if (Now >= JoinDue) {
      JoinDue = Now + JoinEvery;
      for (std::size_t I = 0; I < Rows.size(); ++I) {
        Rows[I]->Active = takesPart(I, View);
      }
    }
    for (std::size_t I = 0; I < Rows.size(); ++I) {
      if (Rows[I]->Active && Now >= due(*Rows[I])) {
        advance(Yield, Now, View, I);
      }
    }
  }

private:
  /// Between two looks at a partition while nobody waits for tokens.
  static constexpr Millis StepEvery{250};
  /// The same where homes hold for others, who call when they need more.
  static constexpr Millis HomeStepEvery{500};
  /// The same for each VM that writes there: an append takes 2 ms, and a write
  /// on a condition fails if another came between.
  static constexpr Millis StepPerWriter{16};
  /// Between two looks while somebody waits for tokens.
  static constexpr Millis HurryPause{10};
  static constexpr Millis HurryPerWriter{6};
  /// Between two looks at whether this VM has become a home.
  static constexpr Millis JoinEvery{1'000};

  struct Row {
    Row(Log &Store, store::Partition At, Shard &Part,
        PartitionSyncSettings Terms)
        : Keep{Store, std::move(At), Part.Known, Part.Held, std::move(Terms)} {}

    PartitionSync<Log> Keep;
    bool Active = false; ///< This VM takes part.
    bool Hurried = false;
    Instant Due{};      ///< Of the next look.
    Instant HurryDue{}; ///< Of the next look if somebody waits.
  };

  [[nodiscard]] static Instant due(const Row &One) noexcept {
    return One.Hurried ? std::min(One.HurryDue, One.Due) : One.Due;
  }

  void open() {
    for (std::size_t I = Rows.size(); I < Parts.size(); ++I) {
      const store::Partition At{Topic, static_cast<std::uint32_t>(I)};
      Rows.push_back(std::make_unique<Row>(Store, At, Parts.at(I), Terms));
    }
  }

  [[nodiscard]] bool takesPart(std::size_t Index, const StepContext &View) {
    if (Parts.size() == 1 || Parts.at(Index).Held.joined()) {
      return true;
    }
    return std::any_of(View.Names.begin(), View.Names.end(),
                       [&](const WorkspaceId &Name) {
                         return Parts.indexOf(Name) == Index && View.Home(Name);
                       });
  }

  void advance(boost::asio::yield_context Yield, Instant Now,
               const StepContext &View, std::size_t Index) {
    auto &At = *Rows[Index];
    std::vector<WorkspaceId> Own;
    for (const auto &Name : View.Names) {
      if (Parts.indexOf(Name) == Index) {
        Own.push_back(Name);
      }
    }
    const auto Writers =
        static_cast<std::int64_t>(Parts.at(Index).Known.entries().size());
    At.Hurried = false;
    const auto Least = Parts.size() == 1 ? StepEvery : HomeStepEvery;
    At.Due = Now + std::max(Least, StepPerWriter * Writers);
    // Whoever is in a hurry waits its turn as well.
    At.HurryDue = Now + std::max(HurryPause, HurryPerWriter * Writers);
    At.Keep.step(Yield, Now, View.Budgets, Own, View.Vms, View.Home);
  }

  Log &Store;
  std::string Topic;
  Shards &Parts;
  PartitionSyncSettings Terms;
  std::vector<std::unique_ptr<Row>> Rows; ///< One a partition.
  Instant JoinDue{}; ///< When to look whether this VM has become a home.
};

} // namespace goldcrestnotch::escrow
