/// @file
/// Publishes this VM's member record at intervals and reads those of the other
/// VMs.

#pragma once

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "goldcrestnotch/http/endpoint_text.hpp"
#include "goldcrestnotch/roster/roster.hpp"
#include "goldcrestnotch/store/keyed_feed.hpp"
#include "goldcrestnotch/telemetry/line_limit.hpp"
#include "goldcrestnotch/telemetry/log.hpp"

namespace goldcrestnotch::roster {

/// @brief Keeps a roster up to date from one partition of the store's log.
///
/// Records are written unconditionally: an old write that takes effect late is
/// replaced by the next one, and no decision about tokens depends on it.
/// @tparam Log Client of the store.
template <store::UnconditionalLog Log> class RosterSync {
public:
  /// Shortest interval between two records of a VM.
  static constexpr Millis HeartbeatInterval{1'000};
  /// The interval grows with the number of VMs, since all of them write to one
  /// partition and each write takes 2 ms there.
  static constexpr Millis HeartbeatIntervalPerVm{7};
  /// Key of the record that holds the number of budget partitions. It can't be
  /// mistaken for the address of a VM.
  static constexpr const char *LayoutKey = "layout";

  /// @param Vm Address of this VM.
  /// @param Self Record of this VM; its sequence number is raised by each
  /// write.
  RosterSync(Log &Store, store::Partition Source, Roster &Vms, std::string Vm,
             MemberRecord Self)
      : Store{Store}, Vms{Vms}, Vm{std::move(Vm)}, Self{std::move(Self)},
        Feed{Store, std::move(Source),
             [this](const store::Record &Update) { apply(Update); }} {}

  [[nodiscard]] store::KeyedFeed<Log> &feed() noexcept { return Feed; }
  /// @brief Interval between two records of a VM.
  /// @param Vms Number of VMs that are up.
  [[nodiscard]] static Millis heartbeatInterval(std::size_t Vms) noexcept {
    return std::max(HeartbeatInterval,
                    HeartbeatIntervalPerVm * static_cast<std::int64_t>(Vms));
  }
  /// @brief Number of budget partitions; zero until it is known. The first VM
  /// of a fleet decides it, and it never changes.
  [[nodiscard]] std::size_t partitionCount() const noexcept {
    return PartitionCount;
  }

  /// @brief Sets the move evidence to publish with the next record.
  void setMoveEvidence(MoveEvidenceByService Evidence) {
    Self.Moves = std::move(Evidence);
  }
  /// @brief Sets the quarantined prompt parts to publish with the next record.
  void setQuarantined(std::vector<QuarantinedSuspect> Parts) {
    Self.Quarantined = std::move(Parts);
  }
  /// @brief Announces with the next step whether this VM has lost its links to
  /// the targets.
  void setCutOff(bool CutOff) noexcept {
    Self.CutOff = CutOff;
    HeartbeatDeadline = Instant{};
  }
  /// @brief Announces with the next step that this VM accepts no new callers.
  void startLeaving() noexcept {
    Self.Leaving = true;
    HeartbeatDeadline = Instant{};
  }

  /// @brief Reads new records, and writes this VM's record if it is due.
  /// @param ProposedPartitions Number of budget partitions to propose if none
  /// is decided yet.
  /// @throws store::StoreError
  void step(boost::asio::yield_context Yield, Instant Now,
            std::size_t ProposedPartitions) {
    Feed.poll(Yield, Millis{0});
    const auto Layout = Feed.value(LayoutKey);
    if (!Feed.broken() && (!Layout || !parsePartitionCount(*Layout))) {
      proposePartitionCount(Yield, PartitionCount == 0 ? ProposedPartitions
                                                       : PartitionCount);
    }
    if (Now < HeartbeatDeadline && Feed.value(Vm)) {
      return;
    }
    ++Self.Sequence;
    // Set before the response arrives, so that a lost response does not cause
    // an immediate second write.
    HeartbeatDeadline = Now + heartbeatInterval(Vms.liveCount(Now));
    store::Record Record{0, Vm, encode(Self)};
    const auto Written = Store.put(Yield, Feed.partition(), {Record});
    Record.Offset = Written.Offset;
    Record.Era = Written.Era;
    Feed.apply(Record); // Lets the feed pass it on to a VM that is starting.
  }

private:
  /// More than any store has.
  static constexpr std::size_t MaxPartitions = 100'000;

  /// @return Nothing if the text is no number of partitions.
  [[nodiscard]] static std::optional<std::size_t>
  parsePartitionCount(std::string_view Text) {
    std::size_t Result = 0;
    const auto *const End = Text.data() + Text.size();
    const auto Parsed = std::from_chars(Text.data(), End, Result);
    const bool Valid = Parsed.ec == std::errc{} && Parsed.ptr == End &&
                       Result > 0 && Result <= MaxPartitions;
    return Valid ? std::optional{Result} : std::nullopt;
  }

  /// @brief Writes the partition count, for the first time or because a
  /// restored store lacks it, or because it can't be read, on the condition
  /// that nobody has written since the last read.
  void proposePartitionCount(boost::asio::yield_context Yield,
                             std::size_t Proposed) {
    const store::Record Record{Feed.nextOffset(), LayoutKey,
                               std::to_string(Proposed), Feed.era()};
    const auto Result =
        Store.append(Yield, Feed.partition(), Record.Offset, {Record});
    if (Result.Appended && Result.Era == Record.Era) {
      Feed.apply(Record);
    }
  }

  /// @brief Applies a record from the feed.
  void apply(const store::Record &Update) {
    if (!Update.Value) {
      return;
    }
    if (Update.Key == LayoutKey) {
      if (PartitionCount != 0) {
        return; // A restored store contains it again.
      }
      PartitionCount = parsePartitionCount(*Update.Value).value_or(0);
      log(LogLevel::Info, "escrow.layout",
          {{"partitions", static_cast<std::int64_t>(PartitionCount)}});
      return;
    }
    const auto Member = http::isIpAddress(Update.Key)
                            ? decodeMember(*Update.Value)
                            : std::nullopt;
    if (!Member) {
      if (const auto Omitted = UnreadableLines.admit(DecisionClock::now())) {
        log(LogLevel::Warn, "roster.unreadable",
            {{"key", Update.Key}, {"left_out", *Omitted}});
      }
      return;
    }
    Vms.observe(DecisionClock::now(), Update.Key, *Member);
  }

  Log &Store;
  Roster &Vms;
  std::string Vm; ///< Address of this VM.
  MemberRecord Self;
  store::KeyedFeed<Log> Feed;
  std::size_t PartitionCount = 0;
  Instant HeartbeatDeadline{};
  LineLimit UnreadableLines{MaxUnreadableLines};
};

} // namespace goldcrestnotch::roster
