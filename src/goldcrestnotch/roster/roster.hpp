/// @file
/// Which VMs take callers, judged by the records that they keep writing.

#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/escrow/record.hpp"

namespace goldcrestnotch::roster {

/// @brief The live VMs. No I/O, no clock.
class Roster {
public:
  /// @param Silence A VM that writes nothing for so long is taken to be down.
  explicit Roster(Millis Silence) : Silence{Silence} {}

  /// @brief Addresses for callers.
  [[nodiscard]] std::vector<std::string> entries(Instant Now) const {
    std::vector<std::string> Result;
    for (const auto &[Vm, One] : Members) {
      if (alive(Now, One) && !One.Leaving) {
        Result.push_back(One.Entry);
      }
    }
    return Result;
  }
  /// @brief Addresses for other VMs, without one's own.
  [[nodiscard]] std::vector<std::string>
  controls(const std::string &Own) const {
    std::vector<std::string> Result;
    for (const auto &[Vm, One] : Members) {
      if (One.Control != Own && !One.Leaving) {
        Result.push_back(One.Control);
      }
    }
    return Result;
  }
  /// @brief IP numbers of VMs that are up, without one's own.
  [[nodiscard]] std::vector<std::string>
  addresses(Instant Now, const std::string &Own) const {
    std::vector<std::string> Result;
    for (const auto &[Vm, One] : Members) {
      if (alive(Now, One) && Vm != Own) {
        Result.push_back(Vm);
      }
    }
    return Result;
  }
  /// @brief Count of VMs that are up.
  [[nodiscard]] std::size_t size(Instant Now) const {
    std::size_t Count = 0;
    for (const auto &[Vm, One] : Members) {
      Count += alive(Now, One) ? 1 : 0;
    }
    return Count;
  }

  /// @brief How long VMs may be silent has changed.
  void update(Millis Given) noexcept { Silence = Given; }
  /// @brief A record of a VM was read.
  void observe(Instant Now, const escrow::HolderName &Name,
               const escrow::HolderRecord &Record) {
    auto &At = Members[Name.Vm];
    const bool News = At.Boot != Name.Boot || Record.Sequence > At.Sequence;
    if (!News) {
      return;
    }
    At = {Name.Boot,      Record.Sequence, Record.Entry,
          Record.Control, Record.Leaving,  Now + Silence};
  }
  /// @brief Nothing could be read since an instant: VMs that were up then are
  /// taken to be up still.
  void forgive(Instant Now, Instant Since) {
    for (auto &[Vm, One] : Members) {
      if (One.DownDeadline >= Since) {
        One.DownDeadline = std::max(One.DownDeadline, Now + Silence);
      }
    }
  }

private:
  struct Member {
    std::string Boot;
    std::uint64_t Sequence = 0;
    std::string Entry;
    std::string Control;
    bool Leaving = false;
    Instant DownDeadline{};
  };

  [[nodiscard]] static bool alive(Instant Now, const Member &One) noexcept {
    return Now < One.DownDeadline;
  }

  Millis Silence;
  std::map<std::string, Member> Members; ///< By the VM's address.
};

} // namespace goldcrestnotch::roster
