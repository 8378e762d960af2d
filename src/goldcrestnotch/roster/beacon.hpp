/// @file
/// Writes a VM's own record at intervals and reads those of the others.

#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "goldcrestnotch/roster/roster.hpp"
#include "goldcrestnotch/store/keyed_feed.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch::roster {

/// @brief Keeps a roster by one partition of the shared log.
///
/// Records are written without a condition: an old one that takes effect late
/// is replaced by the next, and misleads nobody about tokens.
/// @tparam Log How the store is reached.
template <store::UnconditionalLog Log> class Beacon {
public:
  /// A record is written at least so often, and less often by many VMs: one
  /// partition takes all of them, 2 ms each.
  static constexpr Millis Heartbeat{1'000};
  static constexpr Millis HeartbeatPerVm{7};
  /// Key of the count of budget partitions; no VM's address.
  static constexpr const char *LayoutKey = "layout";

  /// @param Vm The own VM's address.
  Beacon(Log &Store, store::Partition At, Roster &Vms, std::string Vm,
         MemberRecord Own)
      : Store{Store}, Vms{Vms}, Vm{std::move(Vm)}, Own{std::move(Own)},
        Feed{Store, std::move(At),
             [this](const store::Record &One) { take(One); }} {}

  [[nodiscard]] store::KeyedFeed<Log> &feed() noexcept { return Feed; }
  /// @brief The longest time between two records of a VM.
  [[nodiscard]] static Millis heartbeat(std::size_t Vms) noexcept {
    return std::max(Heartbeat, HeartbeatPerVm * static_cast<std::int64_t>(Vms));
  }
  /// @brief Into how many partitions the budgets are divided; zero until it is
  /// known. The first VM of all decides, and it never changes.
  [[nodiscard]] std::size_t layout() const noexcept { return Layout; }

  /// @brief What this VM has seen of moves, for the next record.
  void tell(MovesSeen Seen) { Own.Moves = std::move(Seen); }
  /// @brief This VM takes no new callers; said with the next step.
  void leave() noexcept {
    Own.Leaving = true;
    HeartbeatDeadline = Instant{};
  }

  /// @brief Reads, and writes if the own record is due.
  /// @param Proposed Count of partitions if nobody has decided.
  /// @throws store::StoreError
  void step(boost::asio::yield_context Yield, Instant Now,
            std::size_t Proposed) {
    Feed.poll(Yield, Millis{0});
    if (Layout == 0) {
      decide(Yield, Proposed);
    }
    if (Now < HeartbeatDeadline) {
      return;
    }
    ++Own.Sequence;
    // Set before the answer: a lost one is no reason to write at once again.
    HeartbeatDeadline = Now + heartbeat(Vms.size(Now));
    store::Record Record{0, Vm, encode(Own)};
    Record.Offset = Store.put(Yield, Feed.partition(), {Record});
    Feed.apply(Record); // So that a VM which starts can be told of it.
  }

private:
  void decide(boost::asio::yield_context Yield, std::size_t Proposed) {
    const store::Record Record{Feed.nextOffset(), LayoutKey,
                               std::to_string(Proposed)};
    const auto Result =
        Store.append(Yield, Feed.partition(), Record.Offset, {Record});
    if (Result.Appended) {
      Feed.apply(Record);
    }
  }

  void take(const store::Record &One) {
    if (!One.Value) {
      return;
    }
    if (One.Key == LayoutKey) {
      Layout = std::strtoull(One.Value->c_str(), nullptr, 10);
      log(LogLevel::Info, "escrow.layout",
          {{"partitions", static_cast<std::int64_t>(Layout)}});
      return;
    }
    const auto Told = decodeMember(*One.Value);
    if (!Told) {
      log(LogLevel::Warn, "roster.unreadable", {{"key", One.Key}});
      return;
    }
    Vms.observe(DecisionClock::now(), One.Key, *Told);
  }

  Log &Store;
  Roster &Vms;
  std::string Vm;
  MemberRecord Own;
  store::KeyedFeed<Log> Feed;
  std::size_t Layout = 0;
  Instant HeartbeatDeadline{};
};

} // namespace goldcrestnotch::roster
