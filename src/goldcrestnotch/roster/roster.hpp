/// @file
/// Tracks which VMs are up and accept callers, judged by the records that each
/// VM publishes at intervals.

#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/quarantine/crash_quarantine.hpp"
#include "goldcrestnotch/roster/member_record.hpp"

namespace goldcrestnotch::roster {

/// @brief A VM that is up and accepts callers.
struct LiveVm {
  std::string Address;        ///< The VM's IP address, key of its records.
  std::string ControlAddress; ///< Address that other VMs connect to.
  std::uint32_t CpuShare = 0; ///< Processor share in hundredths of a core.

  auto operator<=>(const LiveVm &) const = default;
};

/// @brief The VMs known from their records. Does no I/O and reads no clock.
class Roster {
public:
  /// @param SilenceTimeout A VM whose newest record is older than this is
  /// considered down.
  explicit Roster(Millis SilenceTimeout) : SilenceTimeout{SilenceTimeout} {}

  /// @brief Caller addresses of VMs that are up and not leaving.
  [[nodiscard]] std::vector<std::string> callerAddresses(Instant Now) const {
    std::vector<std::string> Result;
    for (const auto &[Vm, Entry] : Members) {
      if (alive(Now, Entry) && !Entry.Record.Leaving) {
        Result.push_back(Entry.Record.CallerAddress);
      }
    }
    return Result;
  }
  /// @brief Control addresses of all known VMs that are not leaving, up or
  /// down, except one.
  /// @param Self Control address of this VM, which is left out.
  [[nodiscard]] std::vector<std::string>
  controlAddresses(const std::string &Self) const {
    std::vector<std::string> Result;
    for (const auto &[Vm, Entry] : Members) {
      if (Entry.Record.ControlAddress != Self && !Entry.Record.Leaving) {
        Result.push_back(Entry.Record.ControlAddress);
      }
    }
    return Result;
  }
  /// @brief IP addresses of VMs that are up, leaving ones included.
  /// @param Self IP address of this VM, which is left out.
  [[nodiscard]] std::vector<std::string>
  vmAddresses(Instant Now, const std::string &Self) const {
    std::vector<std::string> Result;
    for (const auto &[Vm, Entry] : Members) {
      if (alive(Now, Entry) && Vm != Self) {
        Result.push_back(Vm);
      }
    }
    return Result;
  }
  /// @brief IP addresses of VMs that are up, not leaving and not cut off from
  /// the targets.
  /// @param Self IP address of this VM, which is left out.
  [[nodiscard]] std::vector<std::string>
  relayAddresses(Instant Now, const std::string &Self) const {
    std::vector<std::string> Result;
    for (const auto &[Vm, Entry] : Members) {
      if (alive(Now, Entry) && !Entry.Record.Leaving && !Entry.Record.CutOff &&
          Vm != Self) {
        Result.push_back(Vm);
      }
    }
    return Result;
  }
  /// @brief VMs that are up and not leaving, sorted by address.
  [[nodiscard]] std::vector<LiveVm> liveVms(Instant Now) const {
    std::vector<LiveVm> Result;
    for (const auto &[Vm, Entry] : Members) {
      if (alive(Now, Entry) && !Entry.Record.Leaving) {
        Result.push_back(
            {Vm, Entry.Record.ControlAddress, Entry.Record.CpuShare});
      }
    }
    return Result;
  }
  /// @brief VMs that the fleet takes to be up and not leaving, sorted by
  /// address, as far as this VM can tell while the store does not answer it.
  /// @details New records that arrive through other VMs show that a part of the
  /// fleet still reaches the store. That part takes the VMs that write no
  /// records for down, which may include this VM. Without new records, nobody
  /// is known to reach the store, and all VMs that were up count.
  [[nodiscard]] std::vector<LiveVm> liveVmsInOutage(Instant Now) const {
    const bool OthersReachStore =
        std::any_of(Members.begin(), Members.end(), [&](const auto &Entry) {
          return Now - Entry.second.Observed < MaxRecordAgeInOutage;
        });
    if (!OthersReachStore) {
      return liveVms(Now);
    }
    std::vector<LiveVm> Result;
    for (const auto &[Vm, Entry] : Members) {
      if (Now - Entry.Observed < SilenceTimeout && !Entry.Record.Leaving) {
        Result.push_back(
            {Vm, Entry.Record.ControlAddress, Entry.Record.CpuShare});
      }
    }
    return Result;
  }
  /// @brief Number of VMs that are up, leaving ones included.
  [[nodiscard]] std::size_t liveCount(Instant Now) const {
    std::size_t Count = 0;
    for (const auto &[Vm, Entry] : Members) {
      Count += alive(Now, Entry) ? 1 : 0;
    }
    return Count;
  }
  /// @brief Sums the evidence of all VMs about a service's move to a version.
  [[nodiscard]] MoveEvidence evidence(const std::string &Service,
                                      const VersionId &To) const {
    MoveEvidence Sum{To, {}, {}};
    const auto Add = [](VersionCounts &Into, const VersionCounts &From) {
      Into.Requests += From.Requests;
      Into.Failed += From.Failed;
      Into.Slow += From.Slow;
    };
    for (const auto &[Vm, Entry] : Members) {
      const auto It = Entry.Record.Moves.find(Service);
      if (It != Entry.Record.Moves.end() && It->second.To == To) {
        Add(Sum.Old, It->second.Old);
        Add(Sum.New, It->second.New);
      }
    }
    return Sum;
  }

  /// @brief The prompt parts that a VM keeps in quarantine, with the time at
  /// which that ends.
  [[nodiscard]] std::vector<quarantine::QuarantinedSuspect>
  quarantined() const {
    std::vector<quarantine::QuarantinedSuspect> Result;
    for (const auto &[Vm, Entry] : Members) {
      for (const auto &Part : Entry.Record.Quarantined) {
        Result.push_back(
            {{Part.Hash}, Entry.Observed + Millis{Part.RemainingMs}});
      }
    }
    return Result;
  }

  /// @brief Changes the silence timeout for records observed from now on.
  void setSilenceTimeout(Millis Timeout) noexcept { SilenceTimeout = Timeout; }
  /// @brief Takes a record that was read. Only a record of another process or
  /// with a higher sequence number counts as a sign of life.
  /// @param Vm The VM's address.
  void observe(Instant Now, const std::string &Vm, const MemberRecord &Record) {
    auto &Entry = Members[Vm];
    const bool SameProcess = Entry.Record.Incarnation == Record.Incarnation;
    if (SameProcess ? Record.Sequence <= Entry.Record.Sequence
                    : Entry.Ended.contains(Record.Incarnation)) {
      return;
    }
    if (!SameProcess) {
      Entry.Ended.insert(Entry.Record.Incarnation);
    }
    Entry.Record = Record;
    Entry.DownDeadline = Now + SilenceTimeout;
    Entry.Observed = Now;
  }
  /// @brief Extends the deadlines of VMs that were up at the last complete
  /// read: while their records can't be read, silence does not mean down.
  /// @param Since When all records were known.
  void extendDeadlines(Instant Now, Instant Since) {
    for (auto &[Vm, Entry] : Members) {
      if (Entry.DownDeadline >= Since) {
        Entry.DownDeadline = std::max(Entry.DownDeadline, Now + SilenceTimeout);
      }
    }
  }

private:
  /// An outage shorter than this is not told from a slow store.
  static constexpr Millis MaxRecordAgeInOutage{2'000};

  struct Member {
    MemberRecord Record;
    Instant DownDeadline{}; ///< Considered down from this time on.
    Instant Observed{};     ///< When the newest record arrived.
    /// Incarnations before that of the record. A store that was restored from
    /// an older copy may return their records.
    std::set<std::string> Ended;
  };

  [[nodiscard]] static bool alive(Instant Now, const Member &Entry) noexcept {
    return Now < Entry.DownDeadline;
  }

  Millis SilenceTimeout;
  std::map<std::string, Member> Members; ///< By the VM's address.
};

} // namespace goldcrestnotch::roster
