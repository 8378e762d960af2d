/// @file
/// A fake log in virtual time with the journals and folds of some VMs around
/// it. It can be cut off from a VM, go down, and lose answers of appends that
/// took effect.

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

/// @brief Times of the fake log.
struct LogTimes {
  Millis Append{4}; ///< From an append to its record standing in the log.
  Millis Answer{2}; ///< From there to the answer.
  Millis Read{3};   ///< From there to a reader.
  Millis Timeout{3'000};
  Millis Backoff{200};
  Millis Spacing{50};
  Millis Tick{100};
};

/// @brief A VM's side of the log.
struct LogNode {
  HolderId Self;
  std::unique_ptr<Outbox> Out;
  LedgerState Fold;
  std::uint64_t Life = 0; ///< Events of an earlier life are void.
  bool Alive = false;
  bool Cut = false;
};

/// @brief The log and all VMs' ends of it.
class FakeLog {
public:
  /// @param Poll Called for a VM whenever its fold or the time moved on.
  FakeLog(Timeline &Clock, std::size_t Count, LogTimes Times,
          std::function<void(std::size_t)> Poll)
      : Clock{Clock}, Times{Times}, Poll{std::move(Poll)} {
    Nodes.resize(Count);
  }

  [[nodiscard]] LogNode &at(std::size_t I) noexcept { return Nodes[I]; }
  [[nodiscard]] std::size_t size() const noexcept { return Nodes.size(); }
  /// @brief The fold of all records.
  [[nodiscard]] const LedgerState &book() const noexcept { return Whole; }
  [[nodiscard]] std::uint64_t appends() const noexcept { return Log.size(); }

  /// @brief Starts a VM's daemon, with a greater incarnation than before.
  void boot(std::size_t I) {
    auto &Node = Nodes[I];
    ++Node.Life;
    Node.Alive = true;
    Node.Self = {VmId{"vm" + std::to_string(I)}, Node.Life};
    Node.Out = std::make_unique<Outbox>(Node.Self, Times.Spacing);
    Node.Fold = LedgerState{};
    catchUp(I);
    kick(I);
    tick(I, Node.Life);
  }

  void kill(std::size_t I) {
    Nodes[I].Alive = false;
    ++Nodes[I].Life;
  }

  /// @brief Cuts a VM off the log, or mends the cut.
  void cut(std::size_t I, bool Off) {
    Nodes[I].Cut = Off;
    catchUp(I);
  }

  /// @brief The next appends take effect, but their answers are lost.
  void loseAnswers(int Count) { AnswersToLose = Count; }

  /// @brief Appends what a VM's journal holds, when it is time.
  void kick(std::size_t I) {
    auto &Node = Nodes[I];
    if (!Node.Alive || Node.Out->deadline() == Instant::max()) {
      return;
    }
    const auto Wait = std::max(Node.Out->deadline() - Clock.now(), Millis{0});
    after(I, Wait, [this, I] { send(I); });
  }

  /// @brief Runs something for a VM unless it has died meanwhile.
  void after(std::size_t I, Millis Wait, std::function<void()> What) {
    Clock.after(Wait, [this, I, Life = Nodes[I].Life, What = std::move(What)] {
      if (Nodes[I].Life == Life) {
        What();
      }
    });
  }

  /// @brief Puts a record in the log.
  void enter(const Batch &Record) {
    const LogTime When{Clock.now().time_since_epoch()};
    Log.emplace_back(When, Record);
    Whole.apply(Log.size() - 1, When, Record);
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      if (Nodes[I].Alive) {
        after(I, Times.Read, [this, I] {
          catchUp(I);
          Poll(I);
          kick(I);
        });
      }
    }
  }

private:
  void tick(std::size_t I, std::uint64_t Life) {
    after(I, Times.Tick, [this, I, Life] {
      Poll(I);
      kick(I);
      tick(I, Life);
    });
  }

  void send(std::size_t I) {
    auto &Node = Nodes[I];
    const auto Next = Node.Out->poll(Clock.now());
    if (!Next) {
      return;
    }
    const bool Lost = Node.Cut || AnswersToLose > 0;
    if (!Node.Cut) {
      AnswersToLose -= AnswersToLose > 0 ? 1 : 0;
      Clock.after(Times.Append, [this, Record = *Next] { enter(Record); });
    }
    const auto Wait = Lost ? Times.Timeout : Times.Append + Times.Answer;
    after(I, Wait, [this, I, Lost, Sequence = Next->Sequence] {
      if (Lost) {
        Nodes[I].Out->fail(Clock.now(), Times.Backoff);
      } else {
        Nodes[I].Out->acknowledge(Sequence);
      }
      kick(I);
    });
  }

  void catchUp(std::size_t I) {
    auto &Node = Nodes[I];
    while (!Node.Cut && Node.Fold.next() < Log.size()) {
      const auto Offset = Node.Fold.next();
      Node.Fold.apply(Offset, Log[Offset].first, Log[Offset].second);
    }
  }

  Timeline &Clock;
  LogTimes Times;
  std::function<void(std::size_t)> Poll;
  std::vector<LogNode> Nodes;
  std::vector<std::pair<LogTime, Batch>> Log;
  LedgerState Whole;
  int AnswersToLose = 0;
};

} // namespace model
