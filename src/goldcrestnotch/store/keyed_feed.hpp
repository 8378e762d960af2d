/// @file
/// Follows a partition of keyed records and keeps the newest of each key. News
/// may also come from another VM; offsets tell which is newer.

#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "goldcrestnotch/store/log.hpp"

namespace goldcrestnotch::store {

/// @brief The newest records of one partition.
/// @tparam Log How the store is reached.
template <KeyedLog Log> class KeyedFeed {
public:
  /// Called for each record that is newer than what was known.
  using Take = std::function<void(const Record &)>;

  KeyedFeed(Log &Source, Partition At, Take News)
      : Source{Source}, At{std::move(At)}, News{std::move(News)} {}

  [[nodiscard]] const Partition &partition() const noexcept { return At; }
  /// @brief Whether the whole partition has been read once.
  [[nodiscard]] bool loaded() const noexcept { return Loaded; }
  /// @brief The end of the partition as far as it was read.
  [[nodiscard]] std::uint64_t nextOffset() const noexcept { return Next; }
  /// @brief The newest offset known, from whatever source, plus one.
  [[nodiscard]] std::uint64_t knownEnd() const noexcept { return Known; }
  /// @brief The newest value of a key; nothing if it is dropped or unknown.
  [[nodiscard]] std::optional<std::string> value(const std::string &Key) const {
    const auto It = Newest.find(Key);
    return It == Newest.end() ? std::nullopt : It->second.Value;
  }
  /// @brief Records behind an offset, for another VM.
  [[nodiscard]] std::vector<Record> recordsSince(std::uint64_t Offset) const {
    std::vector<Record> Result;
    for (const auto &[Key, One] : Newest) {
      if (One.Offset >= Offset) {
        Result.push_back(One);
      }
    }
    return Result;
  }

  /// @brief Reads what is new, waiting for it if nothing is. Far behind the
  /// end, reads the newest record of each key instead of all of its history.
  /// @throws StoreError
  void poll(boost::asio::yield_context Yield, Millis Wait) {
    if (!Loaded) {
      load(Yield);
      return;
    }
    auto Got = Source.read(Yield, At, Next, Wait);
    if (Got.Trimmed) {
      load(Yield);
      return;
    }
    for (const auto &One : Got.Records) {
      apply(One);
    }
    Next = std::max(Next, Got.Next);
    const bool Stuck = Got.Records.empty() && Got.End > Next;
    if (Stuck || Got.End > Next + Newest.size()) {
      load(Yield);
    }
  }

  /// @brief Takes a record in, if it is newer than what is known of its key.
  void apply(const Record &One) {
    const auto [It, Fresh] = Newest.try_emplace(One.Key, One);
    if (!Fresh) {
      if (One.Offset <= It->second.Offset) {
        return;
      }
      It->second = One;
    }
    Known = std::max(Known, One.Offset + 1);
    News(One);
  }

private:
  void load(boost::asio::yield_context Yield) {
    std::map<std::string, bool> Present;
    std::string After;
    std::uint64_t Begin = 0;
    for (bool First = true, More = true; More; First = false) {
      auto Page = Source.newest(Yield, At, After);
      Begin = First ? Page.End : Begin;
      for (const auto &One : Page.Records) {
        Present[One.Key] = true;
        After = One.Key;
        apply(One);
      }
      More = Page.More && !Page.Records.empty();
    }
    dropMissing(Present, Begin);
    Next = std::max(Next, Begin);
    Loaded = true;
  }

  /// @brief Keys that the store no longer has were dropped meanwhile.
  void dropMissing(const std::map<std::string, bool> &Present,
                   std::uint64_t Begin) {
    std::vector<Record> Dropped;
    for (const auto &[Key, One] : Newest) {
      if (One.Value && !Present.contains(Key) && One.Offset < Begin) {
        Dropped.push_back({Begin - 1, Key, std::nullopt});
      }
    }
    for (auto &One : Dropped) {
      One.Offset = std::max(One.Offset, Newest.at(One.Key).Offset + 1);
      apply(One);
    }
  }

  Log &Source;
  Partition At;
  Take News;
  std::map<std::string, Record> Newest;
  std::uint64_t Next = 0;
  std::uint64_t Known = 0;
  bool Loaded = false;
};

} // namespace goldcrestnotch::store
