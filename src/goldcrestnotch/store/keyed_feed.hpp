/// @file
/// Follows a partition of keyed records and keeps the newest record of each
/// key. Records may also arrive from another VM; their positions tell which is
/// newer. When the store was restored from an older copy, the partition is read
/// again from its beginning.

#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "goldcrestnotch/store/log.hpp"
#include "goldcrestnotch/telemetry/line_limit.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch::store {

/// @brief The newest records of one partition.
/// @tparam Log The adapter that reads from the store.
template <KeyedLog Log> class KeyedFeed {
public:
  /// Called for each record that is newer than the known one of its key. After
  /// a restore of the store the content may be older than that of an earlier
  /// era; the handler decides by the content.
  using RecordHandler = std::function<void(const Record &)>;
  /// Called with each key that a restored store does not contain any more.
  using LossHandler = std::function<void(const std::string &)>;

  KeyedFeed(Log &Source, Partition Followed, RecordHandler OnRecord)
      : Source{Source}, Followed{std::move(Followed)}, OnRecord{std::move(
                                                           OnRecord)} {}

  /// @brief Sets what happens to keys that a restored store has lost.
  void setLossHandler(LossHandler Handler) { OnLost = std::move(Handler); }
  /// @brief Makes polls fail rather than go on without a part of the records
  /// whose keys are in ASCII.
  void requireWholeList() noexcept { WholeListRequired = true; }

  [[nodiscard]] const Partition &partition() const noexcept { return Followed; }
  /// @brief Whether the partition has been read once, as far as it can be.
  [[nodiscard]] bool loaded() const noexcept { return Loaded; }
  /// @brief Number of loads that could not reach the end of the list.
  [[nodiscard]] std::uint64_t partialLoads() const noexcept {
    return PartialLoads;
  }
  /// @brief Whether the last load broke off, so that keys may be missing.
  [[nodiscard]] bool broken() const noexcept {
    return ReloadDeadline != Instant::max();
  }
  /// @brief The era of the store that the known records belong to.
  [[nodiscard]] std::uint64_t era() const noexcept { return Era; }
  /// @brief The offset at which the next read from the store begins.
  [[nodiscard]] std::uint64_t nextOffset() const noexcept { return NextOffset; }
  /// @brief The newest known position plus one, from the store or from other
  /// VMs.
  [[nodiscard]] Position knownEnd() const noexcept { return {Era, KnownEnd}; }
  /// @brief All records that the store had at this time are known; the epoch
  /// if no read has reached the end of the partition yet.
  [[nodiscard]] Instant provenAt() const noexcept { return ProvenAt; }
  /// @brief The newest value of a key.
  /// @return Nothing if the key is deleted or unknown.
  [[nodiscard]] std::optional<std::string> value(const std::string &Key) const {
    const auto It = Newest.find(Key);
    return It == Newest.end() ? std::nullopt : It->second.Value;
  }
  /// @brief The newest records of all keys from a position on, for another VM.
  [[nodiscard]] std::vector<Record> recordsSince(Position From) const {
    std::vector<Record> Result;
    for (const auto &[Key, Latest] : Newest) {
      if (Position{Latest.Era, Latest.Offset} >= From) {
        Result.push_back(Latest);
      }
    }
    return Result;
  }

  /// @brief Reads new records, waiting for them if there are none. If more
  /// records are left than there are keys, or the next record does not fit into
  /// a read, loads the newest record of each key instead of the history.
  /// @throws StoreError
  void poll(boost::asio::yield_context Yield, Millis Wait) {
    const auto Begin = DecisionClock::now();
    if (!Loaded || Begin >= ReloadDeadline) {
      load(Yield);
      return;
    }
    auto Result = Source.read(Yield, Followed, NextOffset, Wait);
    if (Result.Era != Era) {
      switchEra(Result.Era);
    }
    if (Result.Trimmed || !Loaded) {
      load(Yield);
      return;
    }
    for (const auto &Update : Result.Records) {
      apply(Update);
    }
    NextOffset = std::max(NextOffset, Result.Next);
    if (!Result.Records.empty() && Result.Next >= Result.End) {
      ProvenAt = std::max(ProvenAt, Begin);
    } else if (Result.Next >= Result.End) {
      // The store has held the call for this long and had nothing to return.
      ProvenAt =
          std::max(ProvenAt, std::min(Begin + Wait, DecisionClock::now()));
    }
    const bool Stuck = Result.Records.empty() && Result.End > NextOffset;
    if (Stuck || Result.End > NextOffset + Newest.size()) {
      load(Yield);
    }
  }

  /// @brief Forgets all positions if the store is in a later era than known.
  void enterEra(std::uint64_t Current) {
    if (Current > Era) {
      switchEra(Current);
    }
  }
  /// @brief Applies a record if it is newer than the known one of its key.
  void apply(const Record &Update) {
    if (Update.Era < Era) {
      return;
    }
    enterEra(Update.Era);
    const auto [It, Inserted] = Newest.try_emplace(Update.Key, Update);
    if (!Inserted) {
      if (Update.Offset <= It->second.Offset) {
        return;
      }
      It->second = Update;
    }
    KnownEnd = std::max(KnownEnd, Update.Offset + 1);
    handle(Update);
  }

private:
  /// Interval after which a load that broke off is repeated.
  static constexpr Millis ReloadInterval{2'000};

  [[nodiscard]] static bool isAscii(const std::string &Key) noexcept {
    return std::all_of(Key.begin(), Key.end(), [](char Character) {
      return static_cast<unsigned char>(Character) < 0x80U;
    });
  }

  /// @brief Passes a record on. One that the handler can't bear must not keep
  /// the records behind it from use.
  void handle(const Record &Update) {
    try {
      OnRecord(Update);
    } catch (const std::exception &Failure) {
      if (WholeListRequired) {
        throw;
      }
      if (const auto Omitted = RejectedLines.admit(DecisionClock::now())) {
        log(LogLevel::Error, "store.record_rejected",
            {{"topic", Followed.Topic},
             {"key", Update.Key},
             {"cause", std::string{Failure.what()}},
             {"left_out", *Omitted}});
      }
    }
  }

  /// @brief Forgets all positions. The store's word counts, even if another VM
  /// has claimed a later era.
  void switchEra(std::uint64_t Current) {
    if (!Newest.empty()) {
      log(LogLevel::Warn, "store.restored",
          {{"topic", Followed.Topic},
           {"part", static_cast<std::int64_t>(Followed.Number)},
           {"era", static_cast<std::int64_t>(Current)},
           {"known_end", static_cast<std::int64_t>(KnownEnd)}});
    }
    for (const auto &[Key, Latest] : Newest) {
      if (Latest.Value) {
        KeysBefore.insert(Key);
      }
    }
    Newest.clear();
    NextOffset = 0;
    KnownEnd = 0;
    Loaded = false;
    Unfinished.reset();
    ++ErasEntered;
    Era = Current;
  }

  /// @brief A load of the newest records, as far as it has come.
  struct Load {
    Instant Begin;
    std::uint64_t NextOffset; ///< That of the feed when it began.
    std::uint64_t End;        ///< End of the partition as of the first page.
    std::uint64_t Eras;       ///< `ErasEntered` when it began.
    NewestResult Page;        ///< The last page that was read.
    std::set<std::string> Present; ///< Keys of all pages so far.
    bool KeysSkipped = false;
    bool Broken = false; ///< No page leads on though there are more.
  };

  /// @brief Reads the newest record of each key, page by page. A page that
  /// fails is where the next call goes on: a store that turns some calls away
  /// would otherwise keep long lists from being read at all.
  void load(boost::asio::yield_context Yield) {
    // Reads of the history may have come further since. The next offset is
    // behind the end from the beginning if the store has stated a wrong end.
    const bool GoesOn =
        Unfinished &&
        NextOffset <= std::max(Unfinished->End, Unfinished->NextOffset);
    auto Current = GoesOn ? std::move(*Unfinished) : beginLoad(Yield);
    Unfinished.reset();
    try {
      while (Current.Page.More && !Current.Broken &&
             Current.Eras == ErasEntered) {
        readNextPage(Yield, Current);
      }
    } catch (const StoreError &) {
      if (Current.Eras == ErasEntered) {
        Unfinished = std::move(Current);
      }
      throw;
    }
    if (Current.Eras == ErasEntered) { // Otherwise its records are forgotten.
      finish(Current);
    }
  }

  [[nodiscard]] Load beginLoad(boost::asio::yield_context Yield) {
    const auto Begin = DecisionClock::now();
    auto Page = Source.newest(Yield, Followed, {});
    if (Page.Era != Era) {
      switchEra(Page.Era);
    }
    Load Result{Begin, NextOffset, Page.End, ErasEntered, std::move(Page), {}};
    (void)applyPage(Result.Page, Result.Present);
    return Result;
  }

  void readNextPage(boost::asio::yield_context Yield, Load &Current) {
    auto Next = pageAfter(Yield, Current.Page.LastExactKey, Current.Present);
    if (!Next && Current.Eras == ErasEntered) {
      Next = pageAfter(Yield, Current.Page.KeyBehindLast, Current.Present);
      Current.KeysSkipped = true;
    }
    Current.Broken = !Next;
    Current.Page = std::move(Next).value_or(NewestResult{});
  }

  void finish(const Load &Done) {
    ReloadDeadline =
        Done.Broken ? DecisionClock::now() + ReloadInterval : Instant::max();
    if (Done.KeysSkipped) {
      reportPartial(Done.Present.size(), Done.Broken);
    }
    if (!Done.Broken) {
      deleteMissing(Done.Present, Done.End, Done.KeysSkipped);
    }
    // Later pages may miss changes to keys of earlier ones, so reading goes on
    // from the end as of the first page.
    NextOffset = Done.End;
    ProvenAt = std::max(ProvenAt, Done.Begin);
    Loaded = true;
    if (!Done.Broken) {
      reportLost();
    }
  }

  /// @brief Applies the records of a page.
  /// @param Present Keys of all pages so far.
  /// @return Whether the page has a key that no page before had.
  [[nodiscard]] bool applyPage(const NewestResult &Page,
                               std::set<std::string> &Present) {
    bool Advanced = false;
    for (const auto &Update : Page.Records) {
      Advanced = Present.insert(Update.Key).second || Advanced;
      apply(Update);
    }
    return Advanced;
  }

  /// @brief Reads the page after a key. Keys are repeated rather than missed:
  /// the last key of a page may not be the one that the store has.
  /// @return Nothing if the store rejects the key or shows nothing new.
  [[nodiscard]] std::optional<NewestResult>
  pageAfter(boost::asio::yield_context Yield, const std::string &Key,
            std::set<std::string> &Present) {
    if (Key.empty()) {
      return std::nullopt;
    }
    try {
      auto Next = Source.newest(Yield, Followed, Key);
      if (Next.Era != Era) {
        switchEra(Next.Era);
        return std::nullopt;
      }
      if (applyPage(Next, Present) || !Next.More) {
        return Next;
      }
    } catch (const StoreError &Failure) {
      if (!Failure.rejected()) {
        throw;
      }
      log(LogLevel::Warn, "store.page_rejected",
          {{"topic", Followed.Topic},
           {"after", Key},
           {"cause", std::string{Failure.what()}}});
    }
    return std::nullopt;
  }

  /// @brief Tells that a list has a part that can't be reached. What was known
  /// of that part stays in use.
  /// @param Broken Whether keys in ASCII may be missing.
  /// @throws StoreError if the list is required.
  void reportPartial(std::size_t Read, bool Broken) {
    ++PartialLoads;
    log(LogLevel::Warn, "store.list_partial",
        {{"topic", Followed.Topic},
         {"part", static_cast<std::int64_t>(Followed.Number)},
         {"read", static_cast<std::int64_t>(Read)},
         {"broken", Broken}});
    if (Broken && WholeListRequired) {
      throw StoreError{"log-newest: a part of the list can't be reached",
                       false};
    }
  }

  /// @brief Reports the keys of earlier eras that are absent from this one.
  void reportLost() {
    for (const auto &Key : std::exchange(KeysBefore, {})) {
      if (OnLost && !Newest.contains(Key)) {
        OnLost(Key);
      }
    }
  }

  /// @brief Deletes the keys that a load did not return although their records
  /// are older than the load: the store has deleted them meanwhile.
  /// @param KeysSkipped Whether keys that are not in ASCII may have been
  /// skipped.
  void deleteMissing(const std::set<std::string> &Present,
                     std::uint64_t LoadEnd, bool KeysSkipped) {
    std::vector<Record> Deletions;
    for (const auto &[Key, Latest] : Newest) {
      if (Latest.Value && !Present.contains(Key) && Latest.Offset < LoadEnd &&
          (!KeysSkipped || isAscii(Key))) {
        Deletions.push_back({LoadEnd - 1, Key, std::nullopt, Era});
      }
    }
    for (auto &Deletion : Deletions) {
      Deletion.Offset =
          std::max(Deletion.Offset, Newest.at(Deletion.Key).Offset + 1);
      apply(Deletion);
    }
  }

  Log &Source;
  Partition Followed;
  RecordHandler OnRecord;
  LossHandler OnLost;
  std::uint64_t Era = 0;
  std::map<std::string, Record> Newest; ///< All of the current era.
  /// Keys with a value before the current era, until it has been read.
  std::set<std::string> KeysBefore;
  std::uint64_t NextOffset = 0;
  std::uint64_t KnownEnd = 0;
  Instant ProvenAt{};
  std::uint64_t PartialLoads = 0;
  std::uint64_t ErasEntered = 0;  ///< Tells eras apart that come again.
  std::optional<Load> Unfinished; ///< A load of which a page failed.
  Instant ReloadDeadline = Instant::max(); ///< After a load that broke off.
  LineLimit RejectedLines{MaxUnreadableLines};
  bool Loaded = false;
  bool WholeListRequired = false;
};

} // namespace goldcrestnotch::store
