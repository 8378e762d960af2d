/// @file
/// A simulated log in virtual time, with the outboxes and ledger states of the
/// VMs that use it. A VM can be disconnected from it, and it can lose the
/// responses to appends that took effect.

#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "goldcrestnotch/ledger/ledger_state.hpp"
#include "goldcrestnotch/ledger/outbox.hpp"
#include "model/timeline.hpp"

namespace model {

using namespace goldcrestnotch;

/// @brief Delays of the simulated log.
struct LogDelays {
  Millis Append{4};   ///< From an append until its record is in the log.
  Millis Response{2}; ///< From the append taking effect to its response.
  Millis Read{3};     ///< From the append taking effect until a reader has it.
  Millis Timeout{3'000};
  Millis Backoff{200};
  Millis MinSpacing{50};
  Millis Tick{100};
};

/// @brief The state of one VM that uses the log.
struct LogNode {
  HolderId Self;
  std::unique_ptr<Outbox> Pending;
  LedgerState State;
  /// Incremented by each start and kill; callbacks of earlier generations are
  /// skipped.
  std::uint64_t Generation = 0;
  bool Alive = false;
  bool Disconnected = false;
};

/// @brief The log and the state of all VMs that use it.
class FakeLog {
public:
  /// @param Poll Called with the index of a VM after it has read a record, and
  /// in a fixed interval.
  FakeLog(Timeline &Clock, std::size_t Count, LogDelays Delays,
          std::function<void(std::size_t)> Poll)
      : Clock{Clock}, Delays{Delays}, Poll{std::move(Poll)} {
    Nodes.resize(Count);
  }

  [[nodiscard]] LogNode &at(std::size_t I) noexcept { return Nodes[I]; }
  [[nodiscard]] std::size_t size() const noexcept { return Nodes.size(); }
  /// @brief The ledger state after all records of the log.
  [[nodiscard]] const LedgerState &state() const noexcept { return FullState; }
  [[nodiscard]] std::uint64_t appends() const noexcept { return Log.size(); }

  /// @brief Starts a VM's daemon, with a greater incarnation than before.
  void boot(std::size_t I) {
    auto &Node = Nodes[I];
    ++Node.Generation;
    Node.Alive = true;
    Node.Self = {VmId{"vm" + std::to_string(I)}, Node.Generation};
    Node.Pending = std::make_unique<Outbox>(Node.Self, Delays.MinSpacing);
    Node.State = LedgerState{};
    catchUp(I);
    scheduleAppend(I);
    tick(I, Node.Generation);
  }

  void kill(std::size_t I) {
    Nodes[I].Alive = false;
    ++Nodes[I].Generation;
  }

  /// @brief Disconnects a VM from the log, or reconnects it.
  void cut(std::size_t I, bool Disconnect) {
    Nodes[I].Disconnected = Disconnect;
    catchUp(I);
  }

  /// @brief Loses the responses to the next appends, which still take effect.
  void loseResponses(int Count) { ResponsesToLose = Count; }

  /// @brief Schedules the append of the next batch in a VM's outbox.
  void scheduleAppend(std::size_t I) {
    auto &Node = Nodes[I];
    if (!Node.Alive || Node.Pending->deadline() == Instant::max()) {
      return;
    }
    const auto Delay =
        std::max(Node.Pending->deadline() - Clock.now(), Millis{0});
    after(I, Delay, [this, I] { send(I); });
  }

  /// @brief Schedules a callback that is skipped if the VM has been killed or
  /// restarted by then.
  void after(std::size_t I, Millis Delay, std::function<void()> Callback) {
    Clock.after(Delay, [this, I, Generation = Nodes[I].Generation,
                        Callback = std::move(Callback)] {
      if (Nodes[I].Generation == Generation) {
        Callback();
      }
    });
  }

  /// @brief Appends a record to the log and schedules its delivery to the VMs.
  void append(const Batch &Record) {
    const LogTime Time{Clock.now().time_since_epoch()};
    Log.emplace_back(Time, Record);
    FullState.apply(Log.size() - 1, Time, Record);
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      if (Nodes[I].Alive) {
        after(I, Delays.Read, [this, I] {
          catchUp(I);
          Poll(I);
          scheduleAppend(I);
        });
      }
    }
  }

private:
  void tick(std::size_t I, std::uint64_t Generation) {
    after(I, Delays.Tick, [this, I, Generation] {
      Poll(I);
      scheduleAppend(I);
      tick(I, Generation);
    });
  }

  void send(std::size_t I) {
    auto &Node = Nodes[I];
    const auto Record = Node.Pending->poll(Clock.now());
    if (!Record) {
      return;
    }
    const bool ResponseLost = Node.Disconnected || ResponsesToLose > 0;
    if (!Node.Disconnected) {
      ResponsesToLose -= ResponsesToLose > 0 ? 1 : 0;
      Clock.after(Delays.Append, [this, Copy = *Record] { append(Copy); });
    }
    const auto Delay =
        ResponseLost ? Delays.Timeout : Delays.Append + Delays.Response;
    after(I, Delay, [this, I, ResponseLost, Sequence = Record->Sequence] {
      if (ResponseLost) {
        Nodes[I].Pending->fail(Clock.now(), Delays.Backoff);
      } else {
        Nodes[I].Pending->acknowledge(Sequence);
      }
      scheduleAppend(I);
    });
  }

  void catchUp(std::size_t I) {
    auto &Node = Nodes[I];
    while (!Node.Disconnected && Node.State.next() < Log.size()) {
      const auto Offset = Node.State.next();
      Node.State.apply(Offset, Log[Offset].first, Log[Offset].second);
    }
  }

  Timeline &Clock;
  LogDelays Delays;
  std::function<void(std::size_t)> Poll;
  std::vector<LogNode> Nodes;
  std::vector<std::pair<LogTime, Batch>> Log;
  LedgerState FullState;
  int ResponsesToLose = 0;
};

} // namespace model
