/// @file
/// Which VMs take callers, judged by the records that they keep writing.

#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/roster/member_record.hpp"

namespace goldcrestnotch::roster {

/// @brief A VM that is up and takes callers.
struct LiveVm {
  std::string Address; ///< The VM's own.
  std::string Control; ///< For other VMs.
  std::uint32_t Power = 0;

  auto operator<=>(const LiveVm &) const = default;
};

/// @brief The live VMs. No I/O, no clock.
class Roster {
public:
  /// @param Silence A VM that writes nothing for so long is taken to be down.
  explicit Roster(Millis Silence) : Silence{Silence} {}

  /// @brief Addresses for callers.
  [[nodiscard]] std::vector<std::string> callerAddresses(Instant Now) const {
    std::vector<std::string> Result;
    for (const auto &[Vm, One] : Members) {
      if (alive(Now, One) && !One.Told.Leaving) {
        Result.push_back(One.Told.Entry);
      }
    }
    return Result;
  }
  /// @brief Addresses for other VMs, without one's own.
  [[nodiscard]] std::vector<std::string>
  controlAddresses(const std::string &Own) const {
    std::vector<std::string> Result;
    for (const auto &[Vm, One] : Members) {
      if (One.Told.Control != Own && !One.Told.Leaving) {
        Result.push_back(One.Told.Control);
      }
    }
    return Result;
  }
  /// @brief IP numbers of VMs that are up, without one's own.
  [[nodiscard]] std::vector<std::string>
  vmAddresses(Instant Now, const std::string &Own) const {
    std::vector<std::string> Result;
    for (const auto &[Vm, One] : Members) {
      if (alive(Now, One) && Vm != Own) {
        Result.push_back(Vm);
      }
    }
    return Result;
  }
  /// @brief VMs that are up and not leaving, by address.
  [[nodiscard]] std::vector<LiveVm> liveVms(Instant Now) const {
    std::vector<LiveVm> Result;
    for (const auto &[Vm, One] : Members) {
      if (alive(Now, One) && !One.Told.Leaving) {
        Result.push_back({Vm, One.Told.Control, One.Told.Power});
      }
    }
    return Result;
  }
  /// @brief Count of VMs that are up.
  [[nodiscard]] std::size_t liveCount(Instant Now) const {
    std::size_t Count = 0;
    for (const auto &[Vm, One] : Members) {
      Count += alive(Now, One) ? 1 : 0;
    }
    return Count;
  }
  /// @brief What all VMs together have seen of a move.
  [[nodiscard]] MoveEvidence evidence(const std::string &Service,
                                      const VersionId &To) const {
    MoveEvidence Sum{To, {}, {}};
    const auto Add = [](VersionCounts &Into, const VersionCounts &From) {
      Into.Requests += From.Requests;
      Into.Failed += From.Failed;
      Into.Slow += From.Slow;
    };
    for (const auto &[Vm, One] : Members) {
      const auto It = One.Told.Moves.find(Service);
      if (It != One.Told.Moves.end() && It->second.To == To) {
        Add(Sum.Old, It->second.Old);
        Add(Sum.New, It->second.New);
      }
    }
    return Sum;
  }

  /// @brief How long VMs may be silent has changed.
  void setSilenceTimeout(Millis Given) noexcept { Silence = Given; }
  /// @brief A record of a VM was read.
  /// @param Vm The VM's address.
  void observe(Instant Now, const std::string &Vm, const MemberRecord &Told) {
    auto &At = Members[Vm];
    const bool News = At.Told.Incarnation != Told.Incarnation ||
                      Told.Sequence > At.Told.Sequence;
    if (!News) {
      return;
    }
    At = {Told, Now + Silence};
  }
  /// @brief Nothing could be read since an instant: VMs that were up then are
  /// taken to be up still.
  void extendDeadlines(Instant Now, Instant Since) {
    for (auto &[Vm, One] : Members) {
      if (One.DownDeadline >= Since) {
        One.DownDeadline = std::max(One.DownDeadline, Now + Silence);
      }
    }
  }

private:
  struct Member {
    MemberRecord Told;
    Instant DownDeadline{};
  };

  [[nodiscard]] static bool alive(Instant Now, const Member &One) noexcept {
    return Now < One.DownDeadline;
  }

  Millis Silence;
  std::map<std::string, Member> Members; ///< By the VM's address.
};

} // namespace goldcrestnotch::roster
